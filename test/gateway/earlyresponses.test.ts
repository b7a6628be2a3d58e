import { Verdict } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import { eventOf, startServer, streamEvents } from "./fixtures.ts";
import { type ByteScript, Finish, Reading, startRawServer } from "./rawserver.ts";
import { relayTo } from "./relayedserver.ts";
import { allKinds, createFixture, repeatableKinds, requestFields, RequestKind } from "./requestkinds.ts";

const MIB = 1024 * 1024;
/** More than the kernel's buffers of a direct connection take at once. */
const UPLOAD_BYTES = 7 * MIB;
/** More than the buffers of a connection through a peer take. */
const RELAYED_UPLOAD_BYTES = 20 * MIB;
/** Time after which an upload that nobody reads has filled all buffers. */
const UPLOAD_STALL_MS = 300;
/** Longer than the gateway waits for a server that has ended its response to read the rest of the request. */
const ROUTE_TIMEOUT_MS = 6_000;

const EVENTS = [1, 2, 3, 4].map(eventOf).join("");
const PART = eventOf(1) + eventOf(2);
const FIELDS = "x-id: {id}\r\nx-signature: s\r\n";
const HEAD = `HTTP/1.1 200 OK\r\n${FIELDS}`;
const EVENT_STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n`;
const WHOLE = `${EVENT_STREAM_HEAD}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`;

/** Heads of responses whose bodies end with their connection. */
const headsWithoutLength: Record<string, string> = {
    "without a length": HEAD,
    "with a close header": `${HEAD}connection: close\r\n`,
    "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${FIELDS}`,
    "of an event stream": EVENT_STREAM_HEAD,
};

const uploadOf = (
    kind: RequestKind,
    uploadBytes = UPLOAD_BYTES,
): (typeof requestFields)[RequestKind] & { body: Buffer; } => ({
    ...requestFields[kind],
    body: Buffer.alloc(uploadBytes, "x"),
});

/** Ways in which a server breaks off a response while it has read only the beginning of the request. */
const breaks: Record<string, Partial<ByteScript>> = {
    "is reset with it": { finish: Finish.Reset, finishDelayMs: 0 },
    "closes with it, with unread bytes": { finish: Finish.Close, finishDelayMs: 0 },
    "is reset with it after the upload has stalled": {
        finish: Finish.Reset,
        finishDelayMs: 0,
        delayMs: UPLOAD_STALL_MS,
    },
    "is reset later": { finish: Finish.Reset, finishDelayMs: 5 },
};

const assertBroken = (
    t: ExecutionContext,
    response: Awaited<ReturnType<ReturnType<typeof createFixture>["send"]>>,
    kind: RequestKind,
): void => {
    t.false(response.isEnded, kind);
    t.is(response.isDestroyed, response.hasStarted, kind);
    t.is(response.error?.verdict, Verdict.MayHaveRun, kind);
};

// Guards against the part of a response that reaches a caller as a whole one.
for (const [way, script] of Object.entries(breaks)) {
    for (const [title, head] of Object.entries(headsWithoutLength)) {
        test.serial(`an early response ${title} is broken if its connection ${way}`, async (t) => {
            for (const kind of allKinds) {
                const text = `${head}\r\n${PART}`;
                const server = await startRawServer(t, { ...script, text, reading: Reading.Head });
                assertBroken(t, await createFixture(t, [server]).send(uploadOf(kind)), kind);
                t.true(server.receivedIds.length <= (repeatableKinds.has(kind) ? 2 : 1), kind);
            }
        });
    }

    test.serial(`an early response to a later request is broken if its connection ${way}`, async (t) => {
        for (const kind of allKinds.filter((candidate) => candidate !== RequestKind.Unsafe)) {
            const text = `${HEAD}\r\n${PART}`;
            const server = await startRawServer(t, {
                ...script,
                firstText: WHOLE,
                text,
                reading: Reading.Head,
            });
            const { send } = createFixture(t, [server]);
            let response = await send(requestFields[kind]);
            t.is(response.text, EVENTS, kind);
            while (server.receivedIds.length === server.connectionCount) {
                response = await send(uploadOf(kind));
            }
            assertBroken(t, response, kind);
        }
    });

    test.serial(`an early response through a peer is broken if its connection ${way}`, async (t) => {
        for (const kind of allKinds) {
            const text = `${HEAD}\r\n${PART}`;
            const server = await startRawServer(t, { ...script, text, reading: Reading.Head });
            const { address, relays } = await relayTo(t, server);
            const { send } = createFixture(t, [{ address }], ROUTE_TIMEOUT_MS, relays);
            assertBroken(t, await send(uploadOf(kind, RELAYED_UPLOAD_BYTES)), kind);
            t.true(server.receivedIds.length === 1 || repeatableKinds.has(kind), kind);
        }
    });

    test.serial(`repeatable requests are served by another server if an early response's connection ${way}`, async (t) => {
        for (const kind of repeatableKinds) {
            const text = `${EVENT_STREAM_HEAD}\r\n${PART}`;
            const broken = await startRawServer(t, { ...script, text, reading: Reading.Head });
            const sound = await startServer(t, streamEvents(4));
            const response = await createFixture(t, [broken, sound]).send(uploadOf(kind));
            t.is(response.text, EVENTS, kind);
            t.true(response.isEnded, kind);
            t.is(broken.receivedIds.length, 1, kind);
        }
    });
}

// Guards against a reset that is noticed only beside an upload of a certain size.
for (const reading of [Reading.Whole, Reading.Head]) {
    for (const uploadBytes of [100, 10_000, MIB, 2 * MIB, 4 * MIB]) {
        test.serial(`a response to an upload of ${uploadBytes} bytes is broken if it is reset with it (${reading})`, async (t) => {
            for (const kind of allKinds) {
                const text = `${HEAD}\r\n${PART}`;
                const server = await startRawServer(t, {
                    text,
                    reading,
                    finish: Finish.Reset,
                    finishDelayMs: 0,
                });
                assertBroken(t, await createFixture(t, [server]).send(uploadOf(kind, uploadBytes)), kind);
            }
        });
    }
}

/** Early responses that are whole before their connection ends. */
const wholeHeads: Record<string, { head: string; status: number; }> = {
    success: { head: EVENT_STREAM_HEAD, status: 200 },
    error: { head: `HTTP/1.1 413 Too Large\r\n${FIELDS}`, status: 413 },
};

// Guards against a response that is held back, or lost, although all of it has arrived.
for (const [title, { head, status }] of Object.entries(wholeHeads)) {
    for (const finish of Object.values(Finish)) {
        for (const delayMs of [0, UPLOAD_STALL_MS]) {
            const script: ByteScript = {
                text: `${head}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
                reading: Reading.Head,
                finish,
                delayMs,
            };
            const end = `${finish} after ${delayMs} ms`;
            test.serial(`an early ${title} with a length is whole before the upload ends (${end})`, async (t) => {
                for (const kind of allKinds) {
                    const server = await startRawServer(t, script);
                    const response = await createFixture(t, [server]).send(uploadOf(kind));
                    t.is(response.status, status, kind);
                    t.is(response.text, EVENTS, kind);
                    t.true(response.isEnded, kind);
                    t.is(server.receivedIds.length, 1, kind);
                }
            });
        }
    }
}

const endedEarly: ByteScript = { text: `${HEAD}\r\n${EVENTS}`, finish: Finish.End, finishDelayMs: 0 };

// Guards against a response that is lost because its server ends it regularly before it has read the request.
test.serial("an early response without a length is whole once its server has read the upload", async (t) => {
    for (const kind of allKinds) {
        const server = await startRawServer(t, { ...endedEarly, reading: Reading.HeadFirst });
        const response = await createFixture(t, [server]).send(uploadOf(kind));
        t.is(response.text, EVENTS, kind);
        t.true(response.isEnded, kind);
        t.is(server.receivedIds.length, 1, kind);
    }
});

test.serial("an early response without a length is whole through a peer once its server has read the upload", async (t) => {
    for (const kind of allKinds) {
        const server = await startRawServer(t, { ...endedEarly, reading: Reading.HeadFirst });
        const { address, relays } = await relayTo(t, server);
        const { send } = createFixture(t, [{ address }], ROUTE_TIMEOUT_MS, relays);
        const response = await send(uploadOf(kind, RELAYED_UPLOAD_BYTES));
        t.is(response.text, EVENTS, kind);
        t.true(response.isEnded, kind);
        t.is(server.receivedIds.length, 1, kind);
    }
});

// Guards against a success that a server can't have meant, and against a wait for the time limit of the route.
test.serial("an early response without a length is broken if its server never reads the upload", async (t) => {
    for (const kind of [RequestKind.Unsafe, RequestKind.SingleStream]) {
        const server = await startRawServer(t, { ...endedEarly, reading: Reading.Head });
        const startedAtMs = performance.now();
        assertBroken(t, await createFixture(t, [server], ROUTE_TIMEOUT_MS).send(uploadOf(kind)), kind);
        t.true(performance.now() - startedAtMs < ROUTE_TIMEOUT_MS, kind);
        t.is(server.receivedIds.length, 1, kind);
    }
});
