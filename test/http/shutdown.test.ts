import { ErrorCode, GreengageError, monotonicMs, sleep, Verdict } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test from "ava";
import {
    CALLER_KEY,
    chatBody,
    createEvent,
    openConnection,
    OPERATOR_KEY,
    requestHead,
    send,
    startServer,
    type TestResponse,
} from "./fixture.ts";

const LIMIT_MS = 300;
const neverSettles = <T>(): Promise<T> => new Promise(() => undefined);

const abortedBy = (signal: AbortSignal, verdict: Verdict): Promise<never> =>
    new Promise((_, reject) => {
        signal.addEventListener("abort", () => {
            reject(new GreengageError("the call ended", { code: ErrorCode.Cancelled, verdict }));
        });
    });

// Guards against a shutdown whose interrupted requests leave no trace.
test("a request that the close interrupts is counted with its progress", async (t) => {
    const { admission, metrics, server, url } = await startServer(t, {
        dispatcher: { generate: neverSettles },
    });
    const response = send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body: chatBody() });
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    await Promise.all([server.close(), t.throwsAsync(response)]);
    await waitFor("the count", () => metrics.render().includes("http_interrupted") || undefined);
    t.regex(metrics.render(), /http_interrupted\{progress="unanswered",closedBy="daemon"\} 1/);
});

test("a stream that a shutdown interrupts ends with an error event", async (t) => {
    const { admission, server, url } = await startServer(t, {
        dispatcher: {
            generate: (_, sink, signal) => {
                sink.write(createEvent("Hel"));
                return abortedBy(signal, Verdict.MayHaveRun);
            },
        },
    });
    const body = chatBody({ stream: true });
    const response = send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body });
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    t.is(await server.finishRequests(LIMIT_MS), 1);
    const { text } = await response;
    t.regex(text, /Hel/);
    t.regex(text, /event: error\ndata: .*"title":"timeout".*"verdict":"mayHaveRun"/);
    t.notRegex(text, /\[DONE\]/);
});

test("a request that still waits for a group at the limit is answered as not run", async (t) => {
    const { admission, server, url } = await startServer(t, {
        dispatcher: { generate: (_, __, signal) => abortedBy(signal, Verdict.NotRun) },
    });
    const response = send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body: chatBody() });
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    t.is(await server.finishRequests(LIMIT_MS), 1);
    const { headers, json } = await response;
    t.like(json, { status: 503, title: "draining", verdict: "notRun" });
    t.is(headers["retry-after"], "1");
    t.is(headers["connection"], "close");
});

test("work that does not react to its interruption is answered as possibly run", async (t) => {
    const { admission, server, url } = await startServer(t, { dispatcher: { callService: neverSettles } });
    const response = send(`${url}/v1/services/ledger/x`, { key: CALLER_KEY });
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    t.is(await server.finishRequests(LIMIT_MS), 1);
    t.like((await response).json, { status: 504, title: "timeout", verdict: "mayHaveRun" });
});

const editBody = {
    editId: "edit-1",
    operator: "thandi",
    changes: [{ kind: "model", name: "late", baseVersion: 0, columns: { vmsPerReplica: 2 } }],
};

test("an edit in progress at the limit is answered as possibly run, and a query as not run", async (t) => {
    let arrivedCount = 0;
    const { server, url } = await startServer(t, {
        operators: () => ({
            daemons: [{ daemonId: "b-1", zone: "zone-b", voter: true }],
            edit: () => {
                arrivedCount += 1;
                return neverSettles();
            },
            forward: () => {
                arrivedCount += 1;
                return neverSettles();
            },
        }),
    });
    const edit = send(`${url}/operator/v1/table`, { key: OPERATOR_KEY, body: editBody });
    const query = send(`${url}/operator/v1/status?daemon=b-1`, { key: OPERATOR_KEY });
    await waitFor("both requests", () => arrivedCount === 2 || undefined);
    t.is(await server.finishRequests(LIMIT_MS), 2);
    t.like((await edit).json, { status: 504, title: "timeout", verdict: "mayHaveRun" });
    t.like((await query).json, { status: 503, title: "draining", verdict: "notRun" });
});

test("a request whose head is incomplete at the limit is answered as not run", async (t) => {
    const { port, server } = await startServer(t);
    const connection = await openConnection(t, port);
    connection.write("GET /health/live HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitFor("a response", () => connection.text().includes("true") || undefined);
    connection.write("GET /v1/models HTTP/1.1\r\nhost: x\r\n");
    await sleep(100);
    t.is(await server.finishRequests(LIMIT_MS), 0);
    const text = await connection.closed;
    t.regex(text, /true\}HTTP\/1\.1 503 /);
    t.regex(text, /retry-after: 1\r\n/);
    t.regex(text, /"verdict":"notRun"/);
});

// Guards against answers that are lost because the response to an earlier request announces the close.
test("a request that is read behind one in progress while the daemon drains gets its answer", async (t) => {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
        release = resolve;
    });
    const { admission, port } = await startServer(t, { dispatcher: { generate: () => released } });
    const body = JSON.stringify(chatBody());
    const chat = requestHead("/v1/chat/completions", [
        "content-type: application/json",
        `content-length: ${body.length}`,
    ]) + body;
    admission.closesConnections = true;
    const connection = await openConnection(t, port);
    connection.write(chat);
    await waitFor("a request", () => admission.inFlight === 1 || undefined);
    connection.write(chat);
    await waitFor("two requests", () => admission.inFlight === 2 || undefined);
    release();
    const text = await connection.closed;
    t.is(text.match(/HTTP\/1\.1 200 /g)?.length, 2);
    t.is(text.match(/connection: close/gi)?.length, 1);
});

/** Registers a test of requests in the time between SIGTERM and the interruption. */
const testLateRequest = (name: string, path: string, body: object): void => {
    test(`a late ${name} is refused if its deadline lies past the interruption, and run otherwise`, async (t) => {
        const { admission, url } = await startServer(t);
        admission.interruptsAtMs = monotonicMs() + 5_000;
        const sendWithDeadline = (deadlineMs: number): Promise<TestResponse> =>
            send(url + path, {
                key: CALLER_KEY,
                headers: { "x-deadline-ms": String(deadlineMs), "idempotency-key": `key-${deadlineMs}` },
                body,
            });
        const refused = await sendWithDeadline(6_000);
        t.like(refused.json, { status: 503, title: "draining", verdict: "notRun" });
        t.is(refused.headers["retry-after"], "1");
        t.true((await sendWithDeadline(1_000)).status < 300);
    });
};

testLateRequest("chat", "/v1/chat/completions", chatBody());
testLateRequest("action", "/v1/services/ledger/x", { item: "umbrella" });
