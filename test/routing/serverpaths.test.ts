import { ConnectionProbeResult, createContext, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { type RelayCandidate, RelayError, RelayRefusal } from "@greengage/protocol";
import { PathVerdict, ServerPaths } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import { type Duplex, PassThrough } from "node:stream";

const SERVER = { serverId: "server", address: "10.0.0.1:1" };
const OTHER_SERVER = { serverId: "other", address: "10.0.0.2:1" };
const THIRD_ADDRESS = "10.0.0.3:1";

type Opening = () => Promise<Duplex>;

const opens: Opening = () => Promise.resolve(new PassThrough());
const refuses = (refusal: RelayRefusal): Opening => () => Promise.reject(new RelayError(refusal, "refused"));
const hangs: Opening = () => new Promise(() => undefined);
const closesAtOnce: Opening = () => {
    const stream = new PassThrough();
    setImmediate(() => stream.destroy(new Error("reset")));
    return Promise.resolve(stream);
};

const candidate = (daemonId: string, fields: Partial<RelayCandidate> = {}): RelayCandidate => ({
    daemonId,
    zone: "z",
    relayedCount: 0,
    lostServerIds: [],
    ...fields,
});

interface PathsFixture {
    paths: ServerPaths;
    /** Peers that were asked, in order. */
    askedIds: string[];
    /** Addresses to which direct connections were tried, in order. */
    probed: string[];
    events: string[];
    /** Result of direct connections. */
    direct: { result: ConnectionProbeResult; };
}

/** Creates the paths of a daemon in zone `z` without direct paths, with these peers. */
const createPaths = (
    t: ExecutionContext,
    peers: readonly { candidate: RelayCandidate; opening: Opening; }[],
): PathsFixture => {
    const askedIds: string[] = [];
    const probed: string[] = [];
    const events: string[] = [];
    const direct: PathsFixture["direct"] = { result: ConnectionProbeResult.Unknown };
    const paths = new ServerPaths({
        context: createContext({
            daemonId: "entry",
            zone: "z",
            decisions: { record: (event) => events.push(event) },
        }),
        relays: {
            candidates: () => peers.map((peer) => peer.candidate),
            open: (daemonId) => {
                askedIds.push(daemonId);
                return peers.find((peer) => peer.candidate.daemonId === daemonId)?.opening() ?? hangs();
            },
        },
        probe: async (address) => {
            probed.push(address);
            await sleep(1);
            return direct.result;
        },
    });
    t.teardown(() => paths.close());
    return { paths, askedIds, probed, events, direct };
};

const { Open, Refused, Unknown } = ConnectionProbeResult;

const verdictCases: Record<
    string,
    { direct: ConnectionProbeResult; opening: Opening; verdict: PathVerdict; }
> = {
    "lost if only a peer's connection opens": { direct: Refused, opening: opens, verdict: PathVerdict.Lost },
    "that of an ended server if every connection is refused": {
        direct: Refused,
        opening: refuses(RelayRefusal.ServerUnreachable),
        verdict: PathVerdict.ServerEnded,
    },
    "that of an unreachable server if no connection opens": {
        direct: Unknown,
        opening: refuses(RelayRefusal.ServerUnreachable),
        verdict: PathVerdict.ServerUnreachable,
    },
    "unknown if no peer tries": {
        direct: Refused,
        opening: refuses(RelayRefusal.Overloaded),
        verdict: PathVerdict.Unknown,
    },
    "that of an ended server if connections are closed at once on both paths": {
        direct: Refused,
        opening: closesAtOnce,
        verdict: PathVerdict.ServerEnded,
    },
};

for (const [title, { direct, opening, verdict }] of Object.entries(verdictCases)) {
    test(`the verdict on a path is ${title}`, async (t) => {
        const { paths, direct: state } = createPaths(t, [{ candidate: candidate("a"), opening }]);
        state.result = direct;
        t.is(await paths.verify(SERVER), verdict);
        t.is(paths.isLost(SERVER.address), verdict === PathVerdict.Lost);
        t.is(paths.prefersRelay(SERVER.address), verdict === PathVerdict.Lost);
    });
}

// Guards against the crash of a server that is taken for a lost path, so that no crash is reported.
test("a server that starts again while its path is checked is not behind a lost path", async (t) => {
    const restarting = (): ReturnType<Opening> => {
        direct.result = Open;
        return opens();
    };
    const { paths, direct } = createPaths(t, [{ candidate: candidate("a"), opening: restarting }]);
    t.is(await paths.verify(SERVER), PathVerdict.Direct);
    t.false(paths.isLost(SERVER.address));
});

// Guards against a crashed server behind a proxy, which accepts connections, that is taken for a lost path.
test("a server whose connections are accepted and closed at once is not behind a lost path", async (t) => {
    const { paths, direct } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    direct.result = ConnectionProbeResult.Closed;
    t.is(await paths.verify(SERVER), PathVerdict.Direct);
    t.false(paths.isLost(SERVER.address));
});

// Guards against checks that cost connections through peers while all is well.
test("no peer is asked if the direct connection opens", async (t) => {
    const { paths, askedIds, direct } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    direct.result = Open;
    t.is(await paths.verify(SERVER), PathVerdict.Direct);
    t.deepEqual(askedIds, []);
});

test("a daemon without peers checks no path", async (t) => {
    const { paths, probed } = createPaths(t, []);
    t.is(await paths.verify(SERVER), PathVerdict.Unknown);
    t.deepEqual(probed, []);
});

test("concurrent checks of a path are shared", async (t) => {
    const { paths, probed } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    const verdicts = await Promise.all([paths.verify(SERVER), paths.verify(SERVER)]);
    t.deepEqual(verdicts, [PathVerdict.Lost, PathVerdict.Lost]);
    // The check and the confirmation of the loss.
    t.is(probed.length, 2);
});

test("all paths are presumed lost after two losses, until a direct connection opens", async (t) => {
    const { paths } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    await paths.verify(SERVER);
    t.false(paths.prefersRelay(THIRD_ADDRESS));
    await paths.verify(OTHER_SERVER);
    t.true(paths.prefersRelay(THIRD_ADDRESS));
    paths.recordDirect(THIRD_ADDRESS);
    t.false(paths.prefersRelay(THIRD_ADDRESS));
    t.true(paths.prefersRelay(SERVER.address));
});

test("a lost path is tried again and returns once a direct connection opens", async (t) => {
    const { paths, direct, events } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    paths.start();
    await paths.verify(SERVER);
    t.deepEqual(paths.reportedLostServerIds(), [SERVER.serverId]);
    direct.result = Open;
    await waitFor("the return", () => !paths.prefersRelay(SERVER.address) || undefined);
    t.deepEqual(paths.reportedLostServerIds(), []);
    t.deepEqual(events.filter((event) => event === "path.regained").length, 1);
});

// Guards against a zone whose daemons ask only each other after all of them have lost their paths.
test("a peer of another zone is asked soon if the peers of the own zone don't answer", async (t) => {
    const peers = ["a", "b", "c"].map((daemonId) => ({ candidate: candidate(daemonId), opening: hangs }));
    const remote = { candidate: candidate("remote", { zone: "other" }), opening: opens };
    const { paths, askedIds } = createPaths(t, [...peers, remote]);
    t.is((await paths.openRelayed(SERVER)).relayId, "remote");
    t.is(askedIds.length, 2);
    t.is((await paths.openRelayed(SERVER)).relayId, "remote");
    t.true(askedIds.length <= 4);
});

// Guards against connections that are opened in vain, as they slow down the peers that could relay.
test("a peer that has opened a connection is asked first", async (t) => {
    const cut = ["a", "b"].map((daemonId) => ({
        candidate: candidate(daemonId),
        opening: refuses(RelayRefusal.ServerUnreachable),
    }));
    const { paths, askedIds } = createPaths(t, [...cut, {
        candidate: candidate("c", { zone: "other" }),
        opening: opens,
    }]);
    await paths.openRelayed(SERVER);
    askedIds.length = 0;
    await paths.openRelayed(OTHER_SERVER);
    t.deepEqual(askedIds, ["c"]);
});

test("a peer that has lost the server itself is asked last", async (t) => {
    const { paths, askedIds } = createPaths(t, [
        { candidate: candidate("cut", { lostServerIds: [SERVER.serverId] }), opening: opens },
        { candidate: candidate("remote", { zone: "other" }), opening: opens },
    ]);
    await paths.openRelayed(SERVER);
    t.deepEqual(askedIds, ["remote"]);
});

// Guards against peers without paths of their own whose answers end requests that another peer could relay.
test("a server counts as unreachable only if all peers say so", async (t) => {
    const { paths, askedIds } = createPaths(t, [
        { candidate: candidate("cut"), opening: refuses(RelayRefusal.ServerUnreachable) },
        { candidate: candidate("slow", { zone: "other" }), opening: refuses(RelayRefusal.PeerUnreachable) },
    ]);
    for (const expectedCount of [2, 4]) {
        const error = await t.throwsAsync<RelayError>(paths.openRelayed(SERVER), { instanceOf: RelayError });
        t.is(error?.refusal, RelayRefusal.PeerUnreachable);
        t.is(askedIds.length, expectedCount);
    }
});

test("a peer that has lost several servers is asked last for all of them", async (t) => {
    const { paths, askedIds } = createPaths(t, [
        { candidate: candidate("cut", { lostServerIds: ["x", "y"] }), opening: opens },
        { candidate: candidate("remote", { zone: "other" }), opening: opens },
    ]);
    await paths.openRelayed(SERVER);
    t.deepEqual(askedIds, ["remote"]);
});

test("a server that no peer reaches is not looked for again at once", async (t) => {
    const opening = refuses(RelayRefusal.ServerUnreachable);
    const { paths, askedIds } = createPaths(t, [{ candidate: candidate("a"), opening }]);
    await t.throwsAsync(paths.openRelayed(SERVER), { instanceOf: RelayError });
    await t.throwsAsync(paths.openRelayed(SERVER), { instanceOf: RelayError });
    t.is(askedIds.length, 1);
});

test("paths to servers that are no longer in use are forgotten", async (t) => {
    const { paths } = createPaths(t, [{ candidate: candidate("a"), opening: opens }]);
    await paths.verify(SERVER);
    paths.retainAddresses(new Set([OTHER_SERVER.address]));
    t.deepEqual(paths.lostPaths(), []);
});
