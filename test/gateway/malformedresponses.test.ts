import { Verdict } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import { eventOf, type RecordedResponse, startServer, streamEvents } from "./fixtures.ts";
import { responsesWithInvalidFields, responsesWithInvalidStatus } from "./malformedresponses.ts";
import { type ByteScript, chunkOf, Finish, startRawServer } from "./rawserver.ts";
import { relayTo } from "./relayedserver.ts";
import { allKinds, createFixture, repeatableKinds, requestFields, RequestKind } from "./requestkinds.ts";

/** Long enough to notice a malformed response that is only given up at the time limit. */
const ROUTE_TIMEOUT_MS = 4_000;
/** Malformed bytes show at once; the rest is for repeats and a busy machine. */
const FAILURE_LIMIT_MS = 2_500;

const EVENTS = [1, 2].map(eventOf).join("");
const FIELDS = "x-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n";
const WHOLE = `HTTP/1.1 200 OK\r\n${FIELDS}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`;

const malformedResponses = {
    ...responsesWithInvalidStatus(FIELDS, EVENTS, "x-not-run: 1\r\n"),
    ...responsesWithInvalidFields(FIELDS, EVENTS),
};

/** Kinds of request that are sent once. */
const singleKinds = [RequestKind.Unsafe, RequestKind.SingleStream];

const otherWays: Record<string, Partial<ByteScript>> = {
    "on a connection that ends": { finish: Finish.End },
    "in pieces": { pieceBytes: 1 },
};

/** A stream may begin before its trailer shows that it is malformed, but never ends as complete. */
const assertBroken = (t: ExecutionContext, response: RecordedResponse, kind: RequestKind): void => {
    t.false(response.isEnded, kind);
    t.is(response.isDestroyed, response.hasStarted, kind);
    t.is(response.error?.verdict, Verdict.MayHaveRun, kind);
};

// Guards against a malformed response that reaches a caller.
for (const [title, text] of Object.entries(malformedResponses)) {
    test.serial(`a response with ${title} is no answer`, async (t) => {
        for (const kind of allKinds) {
            const server = await startRawServer(t, { text });
            const startedAtMs = performance.now();
            const response = await createFixture(t, [server], ROUTE_TIMEOUT_MS).send(requestFields[kind]);
            t.true(performance.now() - startedAtMs < FAILURE_LIMIT_MS, kind);
            assertBroken(t, response, kind);
            t.true(!response.hasStarted || title.endsWith("trailer"), kind);
            t.true(server.receivedIds.length === 1 || repeatableKinds.has(kind), kind);
        }
    });

    for (const [way, script] of Object.entries(otherWays)) {
        test.serial(`a response with ${title} is no answer ${way}`, async (t) => {
            for (const kind of singleKinds) {
                const server = await startRawServer(t, { ...script, text });
                assertBroken(t, await createFixture(t, [server]).send(requestFields[kind]), kind);
                t.is(server.receivedIds.length, 1, kind);
            }
        });
    }

    test.serial(`a response with ${title} is no answer through a peer`, async (t) => {
        const server = await startRawServer(t, { text });
        const { address, relays } = await relayTo(t, server);
        for (const kind of singleKinds) {
            const { send } = createFixture(t, [{ address }], ROUTE_TIMEOUT_MS, relays);
            assertBroken(t, await send(requestFields[kind]), kind);
        }
        t.is(server.receivedIds.length, 2);
    });

    test.serial(`a response with ${title} is no answer on a used connection, but that of another server`, async (t) => {
        for (const kind of repeatableKinds) {
            const broken = await startRawServer(t, { firstText: WHOLE, text });
            const sound = await startServer(t, streamEvents(2));
            const { send } = createFixture(t, [broken, sound]);
            for (let count = 0; count < 3; count += 1) {
                const response = await send(requestFields[kind]);
                t.is(response.text, EVENTS, kind);
            }
        }
    });
}

const chunked = (text: string): string => `${chunkOf(text)}0\r\n\r\n`;

/** Codings under which the bytes of a body aren't the response itself, with the framing that follows. */
const unsupportedCodings: Record<string, string> = {
    gzip: `transfer-encoding: gzip\r\n\r\n${EVENTS}`,
    "an unknown coding": `transfer-encoding: x-rot13\r\n\r\n${EVENTS}`,
    "gzip and chunks": `transfer-encoding: gzip, chunked\r\n\r\n${chunked(EVENTS)}`,
    "gzip and chunks on two lines": `transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n${
        chunked(EVENTS)
    }`,
    "gzip after chunks": `transfer-encoding: chunked, gzip\r\n\r\n${EVENTS}`,
    "gzip and a length": `transfer-encoding: gzip\r\ncontent-length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
};

// Guards against the encoded bytes of a body that a caller gets as the body.
for (const [title, rest] of Object.entries(unsupportedCodings)) {
    const script: ByteScript = { text: `HTTP/1.1 200 OK\r\n${FIELDS}${rest}`, finish: Finish.End };

    test.serial(`a response in ${title} is no answer`, async (t) => {
        for (const kind of allKinds) {
            const server = await startRawServer(t, script);
            const response = await createFixture(t, [server]).send(requestFields[kind]);
            assertBroken(t, response, kind);
            t.false(response.hasStarted, kind);
            t.true(server.receivedIds.length === 1 || repeatableKinds.has(kind), kind);
        }
    });
}

// Guards against sound responses that are lost to this check.
for (const coding of ["chunked", "Chunked", " chunked "]) {
    test.serial(`a response with the coding "${coding}" is whole`, async (t) => {
        const text = `HTTP/1.1 200 OK\r\n${FIELDS}transfer-encoding: ${coding}\r\n\r\n${chunked(EVENTS)}`;
        for (const kind of allKinds) {
            const response = await createFixture(t, [await startRawServer(t, { text })]).send(
                requestFields[kind],
            );
            t.is(response.text, EVENTS, kind);
            t.true(response.isEnded, kind);
        }
    });
}
