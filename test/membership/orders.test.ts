import { createContext } from "@greengage/base";
import { ZoneVm } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpOrderSender, OrderResult } from "../../packages/membership/src/orders.ts";
import { responsesWithInvalidFields, responsesWithInvalidStatus } from "../gateway/malformedresponses.ts";
import { Finish, startRawServer } from "../gateway/rawserver.ts";
import { ZONE } from "./fixtures.ts";

const startServer = async (
    t: ExecutionContext,
    nextStatus: () => number | undefined,
): Promise<{ url: string; received: string[]; }> => {
    const received: string[] = [];
    const server = createServer((request, response) => {
        received.push(request.url ?? "");
        const status = nextStatus();
        if (status === undefined) {
            request.socket.destroy();
            return;
        }
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify({ highestFence: 9 }));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, received };
};

const createSender = (
    t: ExecutionContext,
    lease: { isValid: boolean; fence: number; raised?: number; },
): HttpOrderSender => {
    const sender = new HttpOrderSender({
        context: createContext({ daemonId: "daemon-1", zone: ZONE }),
        lease: () => ({
            get isValid(): boolean {
                return lease.isValid;
            },
            get fence(): number {
                return lease.fence;
            },
            raiseReportedFence: (fence: number) => {
                lease.raised = fence;
            },
        }),
        key: "",
        unknownOutcomeMs: 60_000,
    });
    t.teardown(() => sender.close());
    return sender;
};

const createReport = (url: string) =>
    new ZoneVm({ vmId: "vm-1", zone: ZONE, fabricDomain: "rack-1", url }).report();

// Guards against an order that is sent under a lease that ended while the connection was being opened.
test("an order isn't written when the lease ends before the connection is open", async (t) => {
    const server = await startServer(t, () => 200);
    const lease = { isValid: true, fence: 3 };
    const sender = createSender(t, lease);
    const result = sender.release(createReport(server.url), "group-1");
    lease.isValid = false;
    t.is(await result, OrderResult.NotSent);
    t.deepEqual(server.received, []);
    t.false(sender.mayHaveInFlight(3));
    lease.isValid = true;
    t.is(await sender.release(createReport(server.url), "group-1"), OrderResult.Accepted);
    t.is(server.received.length, 1);
});

// Guards against a former controller that confirms that it has stopped although its order may still arrive.
test("an order without a response counts as in flight, and a refusal raises the fencing token", async (t) => {
    const server = await startServer(t, () => undefined);
    const lease: { isValid: boolean; fence: number; raised?: number; } = { isValid: true, fence: 3 };
    const sender = createSender(t, lease);
    t.is(await sender.release(createReport(server.url), "group-1"), OrderResult.Unknown);
    t.true(sender.mayHaveInFlight(3));
    t.false(sender.mayHaveInFlight(2));
    const refusingServer = await startServer(t, () => 409);
    t.is(await sender.release(createReport(refusingServer.url), "group-1"), OrderResult.Refused);
    await waitFor("a raised token", () => lease.raised === 9 || undefined);
});

// Guards against an order that counts as answered by the part of a response.
for (const finishDelayMs of [0, 20]) {
    test(`an order whose response is reset ${finishDelayMs} ms after its part has an unknown outcome`, async (t) => {
        for (const status of ["200 OK", "409 Conflict"]) {
            const text = `HTTP/1.1 ${status}\r\n\r\n{"highest`;
            const { address } = await startRawServer(t, { text, finish: Finish.Reset, finishDelayMs });
            const sender = createSender(t, { isValid: true, fence: 3 });
            const report = createReport(`http://${address}`);
            t.is(await sender.release(report, "group-1"), OrderResult.Unknown, status);
            t.true(sender.mayHaveInFlight(3), status);
        }
    });
}

test("an order is accepted by a response without a length that ends regularly", async (t) => {
    const { address } = await startRawServer(t, { text: "HTTP/1.1 200 OK\r\n\r\n{}", finish: Finish.End });
    const sender = createSender(t, { isValid: true, fence: 3 });
    t.is(await sender.release(createReport(`http://${address}`), "group-1"), OrderResult.Accepted);
    t.false(sender.mayHaveInFlight(3));
});

const malformedResponses = {
    ...responsesWithInvalidStatus("", "{}"),
    ...responsesWithInvalidFields("", "{}"),
};

// Guards against an order that counts as answered by a malformed response.
test("an order whose response is malformed has an unknown outcome", async (t) => {
    for (const [title, text] of Object.entries(malformedResponses)) {
        const { address } = await startRawServer(t, { text });
        const sender = createSender(t, { isValid: true, fence: 3 });
        t.is(await sender.release(createReport(`http://${address}`), "group-1"), OrderResult.Unknown, title);
        t.true(sender.mayHaveInFlight(3), title);
    }
});
