import { waitFor } from "@greengage/faults";
import { RelayRefusal } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { answer, type FakeServer, type GatewayFixture, startServer } from "./fixtures.ts";
import { createRelays, CutKind, type FakeRelays, type Link, startLink } from "./links.ts";
import { createFixture, requestFields, RequestKind } from "./requestkinds.ts";

const REQUEST_COUNT = 4;

interface CutFixture extends GatewayFixture {
    links: Link[];
    relays: FakeRelays;
    servers: FakeServer[];
}

/** Creates a gateway that has lost its paths to two servers, which peers reach. */
const createCutFixture = async (t: ExecutionContext): Promise<CutFixture> => {
    const servers = await Promise.all([1, 2].map(() => startServer(t, answer)));
    const links = await Promise.all(servers.map((server) => startLink(t, server)));
    const byAddress = Object.fromEntries(
        links.map(({ address }, index) => [address, servers[index] ?? { address: "" }]),
    );
    const relays = createRelays({ peer: byAddress });
    const fixture = createFixture(t, links, undefined, relays);
    await Promise.all(links.map((link) => link.cut(CutKind.Reset)));
    return { ...fixture, links, relays, servers };
};

const sendSome = async ({ send }: GatewayFixture): Promise<void> => {
    for (let count = 0; count < REQUEST_COUNT; count += 1) {
        await send(requestFields[RequestKind.Safe]);
    }
};

test.serial("a daemon that serves through peers is ready", async (t) => {
    const fixture = await createCutFixture(t);
    await sendSome(fixture);
    t.true(fixture.gateway.reachesServers);
    t.is((await fixture.send(requestFields[RequestKind.Unsafe])).text, "body");
});

// Guards against a daemon that keeps taking callers which it can't serve.
test.serial("a daemon that reaches no server on any path isn't ready, and is again once it does", async (t) => {
    const fixture = await createCutFixture(t);
    fixture.relays.refusal = RelayRefusal.PeerUnreachable;
    await sendSome(fixture);
    t.false(fixture.gateway.reachesServers);
    fixture.relays.refusal = undefined;
    await waitFor(
        "a request that is served",
        async () => (await fixture.send(requestFields[RequestKind.Safe])).text === "body" || undefined,
    );
    t.true(fixture.gateway.reachesServers);
});

test.serial("requests of a daemon that reaches no server are rejected at once, not run", async (t) => {
    const fixture = await createCutFixture(t);
    fixture.relays.refusal = RelayRefusal.PeerUnreachable;
    await sendSome(fixture);
    const responses = await Promise.all(
        Array.from({ length: 5 }, () => fixture.send(requestFields[RequestKind.Unsafe])),
    );
    const rejected = responses.filter(({ error }) =>
        error?.message.includes("no server can be reached") === true
    );
    t.true(rejected.length >= 3, "all but those that find out whether a server can be reached");
    t.true(rejected.every(({ error }) => error?.verdict === "notRun" && (error.retryAfterMs ?? 0) > 0));
    t.true(fixture.servers.every(({ received }) => received.length === 0));
});

test.serial("a single server that is down doesn't make a daemon unready", async (t) => {
    const fixture = await createCutFixture(t);
    fixture.relays.refusal = RelayRefusal.ServerUnreachable;
    await fixture.links[0]?.restore();
    await sendSome(fixture);
    t.true(fixture.gateway.reachesServers);
});
