import { Verdict } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import { eventOf, type GatewayFixture, type RecordedResponse } from "./fixtures.ts";
import { chunkOf, Finish, startRawServer } from "./rawserver.ts";
import { relayTo } from "./relayedserver.ts";
import { createFixture, requestFields, RequestKind, ROUTE_TIMEOUT_MS } from "./requestkinds.ts";

const EVENT_STREAM_HEAD =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n";

/** Time that a slow caller takes for what it has been sent before. */
const CALLER_PAUSE_MS = 50;
const eventsUpTo = (last: number): string =>
    Array.from({ length: last }, (_, index) => eventOf(index + 1)).join("");
/** Events that don't fit into the buffers of a connection at once. */
const MANY_EVENTS = eventsUpTo(10_000);

/** Sends a stream request whose caller pauses after each write. */
const sendSlowly = async ({ startRequest }: GatewayFixture): Promise<RecordedResponse> => {
    const { response, done } = startRequest(requestFields[RequestKind.SingleStream]);
    const write = response.write.bind(response);
    response.write = (chunk) => !write(chunk);
    response.onDrained = (listener) => void setTimeout(listener, CALLER_PAUSE_MS);
    await done;
    return response;
};

// Guards against a process that ends when a connection ends while its caller reads slowly.
for (const framing of ["", "connection: close\r\ntransfer-encoding: chunked\r\n"]) {
    test.serial(`a stream to a slow caller is broken if it is reset (${framing === "" ? "no length" : "chunks"})`, async (t) => {
        const body = framing === "" ? MANY_EVENTS : chunkOf(MANY_EVENTS);
        const text = `${EVENT_STREAM_HEAD}${framing}\r\n${body}`;
        const server = await startRawServer(t, { text, finish: Finish.Reset });
        const response = await sendSlowly(createFixture(t, [server]));
        t.false(response.isEnded);
        t.true(response.text.startsWith(eventOf(1)));
        t.is(response.error?.verdict, Verdict.MayHaveRun);
    });
}

const assertWhole = (t: ExecutionContext, response: RecordedResponse, events: string): void => {
    t.is(response.error, undefined);
    t.is(response.text, events);
    t.true(response.isEnded);
};

// Guards against a process that ends, and a stream that doesn't, when the end arrives while its caller reads slowly.
for (const count of [1, 4, 10_000]) {
    for (const finishDelayMs of [0, CALLER_PAUSE_MS / 2]) {
        const title = `of ${count} events to a slow caller is whole if it ends after ${finishDelayMs} ms`;
        const events = eventsUpTo(count);
        const script = { text: `${EVENT_STREAM_HEAD}\r\n${events}`, finish: Finish.End, finishDelayMs };

        test.serial(`a stream without a length ${title}`, async (t) => {
            const response = await sendSlowly(createFixture(t, [await startRawServer(t, script)]));
            assertWhole(t, response, events);
        });

        test.serial(`a stream without a length through a peer ${title}`, async (t) => {
            const { address, relays } = await relayTo(t, await startRawServer(t, script));
            const response = await sendSlowly(createFixture(t, [{ address }], ROUTE_TIMEOUT_MS, relays));
            assertWhole(t, response, events);
        });
    }
}
