import { Verdict } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import { createGateway, type GatewayFixture } from "./fixtures.ts";
import { type ByteScript, Finish, type RawServer, startRawServer } from "./rawserver.ts";

const MIB = 1024 * 1024;
/** Time limit of the routes; longer than any response that ends by a size limit takes. */
const ROUTE_TIMEOUT_MS = 4_000;
/** Bytes that the kernel's socket buffers hold in addition to those that the gateway has read. */
const SOCKET_BUFFER_BYTES = 4 * MIB;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const HEAD = `${STATUS_LINE}x-id: {id}\r\nx-signature: s\r\n`;
const EVENT_STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Kinds of request by what may be repeated. */
const RequestKind = {
    Safe: "a safe request",
    Unsafe: "an unsafe request",
    Stream: "a stream",
    /** Its route doesn't allow resumption, so it runs at most once. */
    SingleStream: "a stream that may not be resumed",
} as const;

type RequestKind = typeof RequestKind[keyof typeof RequestKind];

const allKinds = Object.values(RequestKind);
const callKinds: readonly RequestKind[] = [RequestKind.Safe, RequestKind.Unsafe];
const streamKinds: readonly RequestKind[] = [RequestKind.Stream, RequestKind.SingleStream];
const repeatableKinds: ReadonlySet<RequestKind> = new Set([RequestKind.Safe, RequestKind.Stream]);

const requestFields: Record<RequestKind, Parameters<GatewayFixture["send"]>[0]> = {
    [RequestKind.Safe]: { target: "/read/1", generation: undefined },
    [RequestKind.Unsafe]: { target: "/pay/1", generation: undefined },
    [RequestKind.Stream]: { target: "/chat/1" },
    [RequestKind.SingleStream]: { target: "/once/1" },
};

const createFixture = (t: ExecutionContext, servers: readonly { address: string; }[]): GatewayFixture => {
    const timeoutMs = ROUTE_TIMEOUT_MS;
    const targets = servers.map(({ address }) => ({ address, received: [], abortedCount: 0 }));
    const plain = { shares: [{ service: "ledger", weight: 1 }], canResume: false, timeoutMs };
    return createGateway(t, {
        groupHeads: targets,
        servers: targets,
        configuration: {
            routes: [
                buildRoute({ ...plain, name: "read", pathPrefix: "/read/", kind: RouteKind.Safe }),
                buildRoute({ ...plain, name: "pay", pathPrefix: "/pay/", kind: RouteKind.Unsafe }),
                buildRoute({ timeoutMs }),
                buildRoute({ name: "once", pathPrefix: "/once/", canResume: false, timeoutMs }),
            ],
        },
    });
};

const waitUntilClosed = (servers: readonly RawServer[]): Promise<true> =>
    waitFor(
        "the end of the connections",
        () => servers.every(({ openConnectionCount }) => openConnectionCount === 0) ? true : undefined,
        5_000,
    );

interface EndlessCase extends ByteScript {
    kinds: readonly RequestKind[];
    /** Maximum number of bytes that the gateway reads of one response. */
    maxBytes: number;
}

/** Responses that never end. */
const endlessCases: Record<string, EndlessCase> = {
    "header lines": { kinds: allKinds, text: HEAD, endless: "x-more: 0123456789\r\n", maxBytes: 1 * MIB },
    "a header value": { kinds: allKinds, text: `${HEAD}x-more: `, endless: "0123456789", maxBytes: 1 * MIB },
    "103 heads": {
        kinds: allKinds,
        text: "",
        endless: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
        maxBytes: 1 * MIB,
    },
    "102 heads": {
        kinds: allKinds,
        text: "",
        endless: "HTTP/1.1 102 Processing\r\n\r\n",
        maxBytes: 1 * MIB,
    },
    "100 heads": { kinds: allKinds, text: "", endless: "HTTP/1.1 100 Continue\r\n\r\n", maxBytes: 1 * MIB },
    "a status line": { kinds: allKinds, text: "HTTP/1.1 200 ", endless: "OK", maxBytes: 32 * MIB },
    "blank lines before the head": { kinds: allKinds, text: "", endless: "\r\n", maxBytes: 32 * MIB },
    "spaces before a header value": {
        kinds: allKinds,
        text: `${HEAD}x-more:`,
        endless: " ",
        maxBytes: 32 * MIB,
    },
    "a body with content-length": {
        kinds: callKinds,
        text: `${HEAD}content-length: 999999999999\r\n\r\n`,
        endless: "0123456789",
        maxBytes: 2 * MIB,
    },
    "a body in chunks": {
        kinds: callKinds,
        text: HEAD + CHUNKED,
        endless: chunkOf("0123456789"),
        maxBytes: 4 * MIB,
    },
    "a body that ends with its connection": {
        kinds: callKinds,
        text: `${HEAD}connection: close\r\n\r\n`,
        endless: "0123456789",
        maxBytes: 2 * MIB,
    },
    "a body of an error": {
        kinds: streamKinds,
        text: `HTTP/1.1 500 Error\r\nx-id: {id}\r\nx-signature: s\r\n\r\n`,
        endless: "0123456789",
        maxBytes: 2 * MIB,
    },
    "a chunk extension": { kinds: allKinds, text: `${HEAD}${CHUNKED}5;`, endless: "x", maxBytes: 32 * MIB },
    trailers: {
        kinds: allKinds,
        text: `${HEAD}${CHUNKED}0\r\n`,
        endless: "x-more: 0123456789\r\n",
        maxBytes: 1 * MIB,
    },
    "an event": {
        kinds: streamKinds,
        text: `${EVENT_STREAM_HEAD}\r\nid: 1\ndata: `,
        endless: "0123456789",
        maxBytes: 2 * MIB,
    },
    "comment lines": {
        kinds: streamKinds,
        text: `${EVENT_STREAM_HEAD}\r\n`,
        endless: ": 0123456789\n",
        maxBytes: 2 * MIB,
    },
};

// Guards against requests without an answer, memory without bound, unsafe requests that run twice, and a false "not run".
for (const [title, endlessCase] of Object.entries(endlessCases)) {
    for (const kind of endlessCase.kinds) {
        test.serial(`${kind} ends early and truthfully when servers send ${title} without end`, async (t) => {
            const servers = [await startRawServer(t, endlessCase), await startRawServer(t, endlessCase)];
            const startedAtMs = performance.now();
            const response = await createFixture(t, servers).send(requestFields[kind]);
            const durationMs = performance.now() - startedAtMs;
            await waitUntilClosed(servers);
            const sentCount = servers.reduce((sum, { receivedIds }) => sum + receivedIds.length, 0);
            const sentBytes = servers.reduce((sum, server) => sum + server.sentBytes, 0);
            t.log(`${Math.round(durationMs)} ms, ${(sentBytes / MIB).toFixed(1)} MiB sent`);
            t.true(
                durationMs < ROUTE_TIMEOUT_MS / 2,
                "the response is known to be broken before the deadline",
            );
            t.false(response.isEnded);
            t.is(response.text, "");
            t.is(response.error?.verdict, Verdict.MayHaveRun);
            t.is(sentCount, repeatableKinds.has(kind) ? 2 : 1);
            t.true(sentBytes < sentCount * (endlessCase.maxBytes + SOCKET_BUFFER_BYTES));
        });
    }
}

// Guards against a rejection that hides that an earlier attempt may have run the request.
for (const kind of repeatableKinds) {
    test.serial(`${kind} that a server may have run isn't reported as not run when the next rejects it`, async (t) => {
        const broken = await startRawServer(t, { text: "HTTP/1.1 200 OK\r\n", finish: Finish.End });
        const rejecting = await startRawServer(t, {
            text: "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        });
        const response = await createFixture(t, [broken, rejecting]).send(requestFields[kind]);
        t.is(broken.receivedIds.length, 1);
        t.true(rejecting.receivedIds.length >= 1);
        t.is(response.error?.verdict, Verdict.MayHaveRun);
    });
}
