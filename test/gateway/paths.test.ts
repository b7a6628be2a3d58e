import { sleep } from "@greengage/base";
import { type Route, RouteKind } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import { RelayRefusal } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import type { ServerResponse } from "node:http";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    answer,
    createGateway,
    eventOf,
    type FakeServer,
    type GatewayFixture,
    type RequestHandler,
    startServer,
    streamEvents,
    writeHead,
} from "./fixtures.ts";
import { createRelays, CutKind, type FakeRelays, type Link, startLink } from "./links.ts";
import { startBlockedListener } from "./rawserver.ts";
import { allKinds, repeatableKinds, requestFields, RequestKind } from "./requestkinds.ts";

const EVENTS = [1, 2, 3, 4].map(eventOf).join("");

/** Routes that allow a single attempt. */
const singleAttemptRoutes = (): Route[] => {
    const plain = { shares: [{ service: "ledger", weight: 1 }], canResume: false, maxAttempts: 1 };
    return [
        buildRoute({ ...plain, name: "read", pathPrefix: "/read/", kind: RouteKind.Safe }),
        buildRoute({ ...plain, name: "pay", pathPrefix: "/pay/", kind: RouteKind.Unsafe }),
        buildRoute({ maxAttempts: 1 }),
        buildRoute({ name: "once", pathPrefix: "/once/", canResume: false, maxAttempts: 1 }),
    ];
};

interface PathFixture extends GatewayFixture {
    relays: FakeRelays;
}

/** Creates a gateway for servers at direct addresses, which two peers reach at others. No retry is in the budget. */
const createFixture = (
    t: ExecutionContext,
    pairs: readonly { direct: { address: string; }; relayed: { address: string; }; }[],
): PathFixture => {
    const byAddress = Object.fromEntries(pairs.map(({ direct, relayed }) => [direct.address, relayed]));
    const relays = createRelays({ peer1: byAddress, peer2: byAddress });
    const targets = pairs.map(({ direct: { address } }) => ({ address, received: [], abortedCount: 0 }));
    const fixture = createGateway(t, {
        groupHeads: targets,
        servers: targets,
        relays,
        configuration: { routes: singleAttemptRoutes() },
    });
    return { ...fixture, relays };
};

interface CutFixture extends PathFixture {
    link: Link;
    server: FakeServer;
}

/** Creates a gateway for one server behind a link, which peers reach without it. */
const createCutFixture = async (t: ExecutionContext, handler: RequestHandler): Promise<CutFixture> => {
    const server = await startServer(t, handler);
    const link = await startLink(t, server);
    return { ...createFixture(t, [{ direct: link, relayed: server }]), link, server };
};

const waitUntil = (description: string, condition: () => boolean): Promise<true> =>
    waitFor(description, () => condition() || undefined);

const assertNotBlamed = (t: ExecutionContext, { suspicions, decisions }: GatewayFixture): void => {
    t.deepEqual(suspicions, []);
    t.false(decisions.some(({ event }) => event.startsWith("part.") || event === "request.notRepeated"));
};

// Guards against a lost path that is taken for the failure of the server.
for (const kind of allKinds) {
    test.serial(`${kind} is served through a peer when direct connections are refused`, async (t) => {
        const { send, link, server, relays, ...fixture } = await createCutFixture(t, streamEvents(4));
        await link.cut(CutKind.Reset);
        const response = await send(requestFields[kind]);
        t.is(response.text, EVENTS);
        t.true(response.isEnded);
        t.is(server.received.length, 1);
        t.true(relays.requests.length >= 1);
        assertNotBlamed(t, { send, ...fixture });
    });

    test.serial(`${kind} is served through a peer when no direct connection opens`, async (t) => {
        const direct = { address: await startBlockedListener(t) };
        const server = await startServer(t, streamEvents(4));
        const { send, ...fixture } = createFixture(t, [{ direct, relayed: server }]);
        const response = await send(requestFields[kind]);
        t.is(response.text, EVENTS);
        t.is(server.received.length, 1);
        assertNotBlamed(t, { send, ...fixture });
    });

    test.serial(`${kind} is rejected as not run when no peer reaches the server either`, async (t) => {
        const { send, link, server, relays } = await createCutFixture(t, streamEvents(4));
        await link.cut(CutKind.Reset);
        relays.refusal = RelayRefusal.ServerUnreachable;
        const response = await send(requestFields[kind]);
        t.is(response.error?.verdict, "notRun");
        t.is(server.received.length, 0);
    });

    test.serial(`${kind} goes through another peer when the first connection breaks before the write`, async (t) => {
        const { send, link, server, relays } = await createCutFixture(t, streamEvents(4));
        await link.cut(CutKind.Reset);
        relays.brokenCount = 1;
        const response = await send(requestFields[kind]);
        t.is(response.text, EVENTS);
        t.is(server.received.length, 1);
        t.true(relays.requests.length >= 2);
    });

    test.serial(`${kind} runs ${repeatableKinds.has(kind) ? "again" : "once"} when its relay breaks after the write`, async (t) => {
        let hasBroken = false;
        const server = await startServer(t, (request, response) => {
            if (hasBroken) {
                streamEvents(4)(request, response);
                return;
            }
            hasBroken = true;
            void relayLink.cut(CutKind.Reset).then(() => relayLink.restore());
        });
        const direct = await startLink(t, server);
        const relayLink = await startLink(t, server);
        const { send, ...fixture } = createFixture(t, [{ direct, relayed: relayLink }]);
        await direct.cut(CutKind.Reset);
        const response = await send(requestFields[kind]);
        const isRepeated = repeatableKinds.has(kind);
        t.is(response.text, isRepeated ? EVENTS : "");
        t.is(response.error?.verdict, isRepeated ? undefined : "mayHaveRun");
        t.is(server.received.length, isRepeated ? 2 : 1);
        assertNotBlamed(t, { send, ...fixture });
    });

    test.serial(`the server stops ${kind} when its caller leaves through a peer`, async (t) => {
        const { startRequest, link, server } = await createCutFixture(t, (request, response) => {
            writeHead(request, response);
            response.write(eventOf(1));
        });
        await link.cut(CutKind.Reset);
        const { response, done } = startRequest(requestFields[kind]);
        await waitUntil("the request", () => server.received.length === 1);
        response.disconnect();
        await done;
        await waitUntil("the end of its connection", () => server.abortedCount === 1);
        t.is(server.abortedCount, 1);
    });
}

const sendSlowly = async (response: ServerResponse, events: readonly string[]): Promise<void> => {
    for (const event of events) {
        await sleep(100);
        response.write(event);
    }
    response.end();
};

/** Streams two events and goes silent; streams the remaining events to a request that resumes the stream. */
const beginOrResume: RequestHandler = (request, response) => {
    if (request.headers["x-last-event"] !== undefined) {
        streamEvents(4)(request, response);
        return;
    }
    response.setHeader("content-type", "text/event-stream");
    writeHead(request, response);
    response.write(eventOf(1) + eventOf(2));
};

// Guards against streams that break off, or move to another group, although only the path is lost.
for (const kind of [CutKind.Reset, CutKind.Silent]) {
    test.serial(`a stream goes on at its group through a peer after a cut of kind ${kind}`, async (t) => {
        const { startRequest, link, server, relays, ...fixture } = await createCutFixture(t, beginOrResume);
        const { response, done } = startRequest();
        await waitUntil("two events", () => response.text === eventOf(1) + eventOf(2));
        await link.cut(kind);
        await done;
        t.is(response.text, EVENTS);
        t.true(response.isEnded);
        t.deepEqual(server.received.map((headers) => headers["x-last-event"]), [undefined, "2"]);
        t.true(relays.requests.length > 0);
        assertNotBlamed(t, { startRequest, ...fixture });
    });
}

test.serial("a safe request whose kept connection goes silent is sent again through a peer", async (t) => {
    const { send, link, server, ...fixture } = await createCutFixture(t, answer);
    t.is((await send(requestFields[RequestKind.Safe])).text, "body");
    await link.cut(CutKind.Silent);
    t.is((await send(requestFields[RequestKind.Safe])).text, "body");
    t.is(server.received.length, 2);
    assertNotBlamed(t, { send, ...fixture });
});

test.serial("a stream goes on over its connection while only new connections are refused", async (t) => {
    const { send, link, server, ...fixture } = await createCutFixture(t, (request, response) => {
        response.setHeader("content-type", "text/event-stream");
        writeHead(request, response);
        response.write(eventOf(1));
        void link.cut(CutKind.Kept);
        void sendSlowly(response, [2, 3, 4].map(eventOf));
    });
    t.is((await send()).text, EVENTS);
    t.is(server.received.length, 1);
    assertNotBlamed(t, { send, ...fixture });
});

test.serial("a request goes through a peer at once while its path is known to be lost", async (t) => {
    const { send, link, decisions } = await createCutFixture(t, answer);
    await link.cut(CutKind.Reset);
    await send(requestFields[RequestKind.Safe]);
    await waitUntil("the loss", () => decisions.some(({ event }) => event === "path.lost"));
    decisions.length = 0;
    t.is((await send(requestFields[RequestKind.Unsafe])).text, "body");
    const [relayed] = decisions.filter(({ event }) => event === "request.relayed");
    t.is(relayed?.fields.directFailure, undefined);
});

test.serial("requests return to the direct path after it has been restored", async (t) => {
    const { send, link, decisions, relays, gateway } = await createCutFixture(t, answer);
    await link.cut(CutKind.Reset);
    await send(requestFields[RequestKind.Safe]);
    await waitUntil("the loss", () => gateway.reportedLostServerIds().length === 1);
    await link.restore();
    await waitUntil("the return", () => decisions.some(({ event }) => event === "path.regained"));
    const countBefore = relays.requests.length;
    t.is((await send(requestFields[RequestKind.Safe])).text, "body");
    t.is(relays.requests.length, countBefore);
    t.deepEqual(gateway.reportedLostServerIds(), []);
});

test.serial("a relay learns that the server leaves or pauses", async (t) => {
    const { send, link, relayedSignals } = await createCutFixture(t, (request, response) => {
        response.setHeader("x-leaving", "1");
        answer(request, response);
    });
    await link.cut(CutKind.Reset);
    await send(requestFields[RequestKind.Safe]);
    t.is(relayedSignals.length, 1);
    t.true(relayedSignals[0]?.isLeaving);
});
