import { createContext, type DecisionFields } from "@greengage/base";
import { freePorts, waitFor } from "@greengage/faults";
import type { CallerRequest, CallerResponse } from "@greengage/gateway";
import test, { type ExecutionContext } from "ava";
import { CallerServer } from "../../platform/callerserver.ts";
import { chatHeaders } from "./fixtures.ts";
import { formatRequest, parseResponse, RawCaller } from "./rawcaller.ts";

interface Fixture {
    caller: RawCaller;
    decisions: { event: string; fields: DecisionFields; }[];
}

/** Starts a server whose requests are handled by `handle`, and sends one. */
const sendRequest = async (
    t: ExecutionContext,
    handle: (request: CallerRequest, response: CallerResponse) => Promise<void>,
): Promise<Fixture> => {
    const decisions: Fixture["decisions"] = [];
    const context = createContext({
        daemonId: "entry",
        zone: "z",
        decisions: { record: (event, fields) => decisions.push({ event, fields }) },
    });
    const server = new CallerServer(context, {
        handle,
        drainMs: undefined,
        recordInterrupted: () => undefined,
    });
    const [port = 0] = await freePorts(1);
    await server.start({ host: "127.0.0.1", port });
    t.teardown(() => {
        void server.stopListening();
        server.close();
    });
    const caller = await RawCaller.open(t, `127.0.0.1:${port}`);
    caller.send(formatRequest({ path: "/chat/1", headers: chatHeaders("r1"), body: "prompt" }));
    return { caller, decisions };
};

const waitForClose = (caller: RawCaller): Promise<true> =>
    waitFor("the end of the connection", async () => caller.isClosed ? true : undefined);

// Guards against callers that wait until their deadline for the rest of a response that nobody sends.
test("a response that has begun is broken off when its handler fails, and the log tells why", async (t) => {
    const { caller, decisions } = await sendRequest(t, async (_, response) => {
        response.sendHead(200, { "content-type": "text/event-stream" });
        response.write(Buffer.from("id: 1\ndata: x\n\n"));
        throw new Error("unexpected");
    });
    await waitForClose(caller);
    t.false(parseResponse(caller.received)?.isComplete ?? false);
    const [line] = decisions;
    t.is(line?.fields["request"], "r1");
    t.regex(String(line?.fields["reason"]), /unexpected/);
});

test("a handler that fails after a complete response does not cut it off", async (t) => {
    const body = Buffer.alloc(8 * 1024 * 1024, "x");
    const { caller, decisions } = await sendRequest(t, async (_, response) => {
        response.send(200, {}, body);
        throw new Error("unexpected");
    });
    await waitFor(
        "the response",
        async () => caller.isClosed || parseResponse(caller.received)?.isComplete ? true : undefined,
    );
    t.true(parseResponse(caller.received)?.isComplete);
    t.is(decisions.length, 1);
});

test("an unexpected error is not blamed on the caller", async (t) => {
    const { caller, decisions } = await sendRequest(t, () => Promise.reject(new Error("unexpected")));
    await waitFor("the response", async () => parseResponse(caller.received)?.isComplete ? true : undefined);
    t.is(parseResponse(caller.received)?.status, 502);
    t.is(decisions[0]?.fields["code"], "internal");
});
