import { createContext, monotonicMs } from "@greengage/base";
import { createPeerNetwork, EntryDaemon } from "@greengage/daemon";
import { freePorts, waitFor } from "@greengage/faults";
import { packConfiguration, UsageAggregator } from "@greengage/fleet";
import type { Drain } from "@greengage/gateway";
import {
    type PathReport,
    type PeerNetwork,
    RelayError,
    type RelayList,
    RelayRefusal,
    type RelayRequest,
} from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { buildConfiguration } from "../configuration/fixtures.ts";
import { viewOf } from "../gateway/fixtures.ts";
import {
    HOST,
    OPEN_TIMEOUT_MS,
    readStream,
    type RelayFixture,
    startRelay,
} from "../protocol/relayfixtures.ts";

const PEER_KEY = "key";
const SERVER_ID = "server0";
const drainNow = (): Drain => ({ startedAtMs: monotonicMs(), closesAtMs: monotonicMs() + 60_000 });
const NO_CONNECTIONS = { open: 0, reading: 0, answering: 0 };

/** Starts a stand-in for a control daemon that knows one plain server. Resolves to its id. */
const startControl = async (t: ExecutionContext, serverAddress: string): Promise<string> => {
    const [port = 0] = await freePorts(1);
    const daemonId = `${HOST}:${port}`;
    const context = createContext({ daemonId, zone: "z" });
    const peers = createPeerNetwork({ context, listen: { host: HOST, port }, peerKey: PEER_KEY });
    const configuration = buildConfiguration();
    const packed = { version: configuration.version, bytes: packConfiguration(configuration) };
    const server = { address: serverAddress, received: [], abortedCount: 0 };
    peers.handle("fleet.watch", ({ viewTerm }) => ({
        zone: "z",
        leaderId: daemonId,
        leaderContactAgeMs: 0,
        ...(viewTerm === 0 ? { configuration: packed, view: viewOf({ servers: [server] }) } : {}),
    }));
    new UsageAggregator({
        context,
        peers,
        controllerIds: () => [daemonId],
        limits: { list: () => [], merge: () => undefined },
    });
    await peers.start();
    t.teardown(() => peers.close());
    return daemonId;
};

const startEntry = async (
    t: ExecutionContext,
    controlId: string,
): Promise<{ daemon: EntryDaemon; id: string; }> => {
    const [port = 0] = await freePorts(1);
    const id = `${HOST}:${port}`;
    const daemon = new EntryDaemon({
        context: createContext({ daemonId: id, zone: "z" }),
        listen: { host: HOST, port },
        peerKey: PEER_KEY,
        seedIds: [controlId],
        dialect: { requestIdHeader: "x-id", encode: () => ({}), decode: () => undefined } as never,
        retries: { share: 0.2, slack: 100 },
    });
    await daemon.start();
    t.teardown(() => daemon.close(NO_CONNECTIONS));
    await waitFor("configuration and fleet view", () => daemon.gateway.isInitialized || undefined);
    return { daemon, id };
};

interface EntryFixture {
    daemon: EntryDaemon;
    daemonId: string;
    requester: PeerNetwork;
    request: RelayRequest;
    backend: RelayFixture;
    controlId: string;
    open(request?: Partial<RelayRequest>): ReturnType<PeerNetwork["openRelay"]>;
    refusalOf(request?: Partial<RelayRequest>): Promise<RelayRefusal | undefined>;
}

/** Starts an entry daemon that knows one server, and a peer that asks it for connections. */
const startEntryRelay = async (t: ExecutionContext): Promise<EntryFixture> => {
    const backend = await startRelay(t);
    const controlId = await startControl(t, backend.request.address);
    const { daemon, id } = await startEntry(t, controlId);
    const [port = 0] = await freePorts(1);
    const requester = createPeerNetwork({
        context: createContext({ daemonId: `${HOST}:${port}`, zone: "z" }),
        listen: { host: HOST, port },
        peerKey: PEER_KEY,
    });
    t.teardown(() => requester.close());
    const request = { ...backend.request, serverId: SERVER_ID };
    const open: EntryFixture["open"] = (fields) =>
        requester.openRelay(id, { ...request, ...fields }, OPEN_TIMEOUT_MS);
    return {
        daemon,
        daemonId: id,
        requester,
        request,
        backend,
        controlId,
        open,
        refusalOf: async (fields) => (await t.throwsAsync(open(fields), { instanceOf: RelayError }))?.refusal,
    };
};

// Guards against an entry daemon that doesn't relay, and one that lets its peers reach other addresses than those of servers.
test("an entry daemon relays connections to servers that it knows, and to no others", async (t) => {
    const { open, refusalOf, backend } = await startEntryRelay(t);
    const outcome = readStream(await open());
    await waitFor("a connection", () => backend.serverSockets[0]);
    backend.serverSockets[0]?.end("answer");
    t.is((await outcome).bytes.toString(), "answer");
    t.is(await refusalOf({ serverId: "other" }), RelayRefusal.UnknownServer);
    t.is(await refusalOf({ address: `${HOST}:1` }), RelayRefusal.UnknownServer);
    t.is(backend.serverSockets.length, 1);
});

// Guards against requests for others to a server that wants none from this daemon, as it told another daemon in an answer.
test("an entry daemon refuses connections to a server that has asked it for a pause through a peer", async (t) => {
    const { daemonId, requester, refusalOf, daemon } = await startEntryRelay(t);
    const signals = { serverId: SERVER_ID, bornMs: undefined, isLeaving: false, pauseMs: 600_000 };
    requester.notify(daemonId, "relay.observed", signals);
    await waitFor("the pause", () => daemon.gateway.serverHolds()[0]);
    t.is(await refusalOf(), RelayRefusal.Held);
});

// Guards against answers that end with the relay's drain, which counted its own callers' requests only.
test("an entry daemon that drains waits for the connections that it relays", async (t) => {
    const { daemon, open, refusalOf, backend } = await startEntryRelay(t);
    const stream = await open();
    const outcome = readStream(stream);
    daemon.drain(drainNow(), NO_CONNECTIONS);
    t.is(await refusalOf(), RelayRefusal.Draining);
    const waiting = { isDone: false };
    const done = daemon.waitForRelayed(60_000).then(() => waiting.isDone = true);
    await waitFor("a connection", () => backend.serverSockets[0]);
    t.false(waiting.isDone);
    backend.serverSockets[0]?.end("answer");
    t.true((await outcome).isRegularEnd);
    stream.destroy();
    await done;
});

// Guards against entry daemons that know no peer when their paths are lost.
test("entry daemons get one another as candidates, and none that drains", async (t) => {
    const { daemon, daemonId, requester, controlId } = await startEntryRelay(t);
    const paths: PathReport = {
        zone: "z",
        relayedCount: 0,
        lostServerIds: [],
        mayRelay: false,
        relayRevision: 0,
    };
    const candidateIds = async (): Promise<string[]> => {
        const { relays } = await requester.call(controlId, "usage.exchange", { usage: [], paths });
        return (relays as RelayList).candidates.map(({ daemonId }) => daemonId);
    };
    await waitFor("the candidate", async () => (await candidateIds()).includes(daemonId) || undefined);
    daemon.drain(drainNow(), NO_CONNECTIONS);
    await waitFor("no candidate", async () => (await candidateIds()).length === 0 || undefined);
    t.pass();
});
