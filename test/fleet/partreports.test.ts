import { createContext } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { ANSWERING_RULE, CrashReportHandler, CulpritQuarantine } from "@greengage/fleet";
import { type PartReportResponse, requestCulpritId } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { startFleet } from "./fixtures.ts";

const LEADER_ID = "leader";

interface LeaderFixture {
    quarantine: CulpritQuarantine;
    probedEpochs: number[];
    state: { hasCrashed: boolean; };
    /** Reports that a group crashed while it began to answer a request with the part. */
    reportCrash: (partId: string, epoch: number) => Promise<PartReportResponse>;
}

const startLeader = (
    { hasCrashed = true, isLeader = true }: { hasCrashed?: boolean; isLeader?: boolean; } = {},
): LeaderFixture => {
    const hub = new Hub();
    const context = createContext({ daemonId: LEADER_ID, zone: "z" });
    const quarantine = new CulpritQuarantine(context);
    const probedEpochs: number[] = [];
    const state = { hasCrashed };
    new CrashReportHandler({
        context,
        peers: hub.join({ daemonId: LEADER_ID, zone: "z", host: "", port: 0 }),
        log: { holdsLeaderLease: isLeader, status: () => ({ leaderId: "other" }) } as never,
        controller: {
            confirmCrash: async (_, epoch) => {
                probedEpochs.push(epoch);
                return state.hasCrashed;
            },
            confirmServerCrash: async (serverId) => state.hasCrashed ? `${serverId}/1` : undefined,
        },
        quarantine,
        onChanged: () => undefined,
    });
    const entry = hub.join({ daemonId: "entry", zone: "z", host: "", port: 0 });
    return {
        quarantine,
        probedEpochs,
        state,
        reportCrash: (partId, epoch) => {
            const requests = [{ partIds: [partId], hasHead: true }];
            const crash = { service: "llm", groupName: `g${epoch}`, epoch, requests };
            return entry.call(LEADER_ID, "parts.report", { crashes: [crash], served: [] });
        },
    };
};

test("a broken connection to a group that still responds blames no part", async (t) => {
    const { reportCrash, quarantine } = startLeader({ hasCrashed: false });
    t.deepEqual((await reportCrash("part", 1)).crashedEpochs, []);
    t.deepEqual(quarantine.view(0), []);
});

test("reports of several daemons about one crash probe the group once, and each blames its parts", async (t) => {
    const { reportCrash, quarantine, probedEpochs } = startLeader();
    const responses = await Promise.all(["a", "b", "c"].map((partId) => reportCrash(partId, 1)));
    t.deepEqual(responses.map(({ crashedEpochs }) => crashedEpochs), [[1], [1], [1]]);
    t.deepEqual(probedEpochs, [1]);
    t.deepEqual(quarantine.view(0).map(({ partId }) => partId), ["a", "b", "c"]);
});

// A probe that came just before the crash must not hide it.
test("a crash right after a broken connection that blamed no part is confirmed", async (t) => {
    const fixture = startLeader({ hasCrashed: false });
    t.deepEqual((await fixture.reportCrash("part", 1)).crashedEpochs, []);
    fixture.state.hasCrashed = true;
    t.deepEqual((await fixture.reportCrash("part", 1)).crashedEpochs, [1]);
});

test("a daemon that doesn't lead accepts no report", async (t) => {
    const { reportCrash, quarantine } = startLeader({ isLeader: false });
    const { isAccepted, leaderId } = await reportCrash("part", 1);
    t.false(isAccepted);
    t.is(leaderId, "other");
    t.deepEqual(quarantine.view(0), []);
});

const startGroup = async (t: ExecutionContext): Promise<ReturnType<typeof startFleet>> => {
    const fleet = startFleet(t, ["e1", "e2", "e3", "e4"]);
    await waitFor("an open group", () => fleet.openGroups().length > 0 || undefined);
    return fleet;
};

test("only a group whose head doesn't respond counts as crashed", async (t) => {
    const { controller, makeUnresponsive } = await startGroup(t);
    const [group] = controller.groups.all();
    const { groupName = "", epoch = 0, memberIds = [] } = group ?? {};
    t.false(await controller.confirmCrash(groupName, epoch));
    const suspicion = { groupName, epoch, reason: "test", hasRunningStream: false };
    t.true(await controller.checkSuspectedGroup(suspicion), "the group was probed just before the crash");
    makeUnresponsive(memberIds[0] ?? "");
    t.true(await controller.confirmCrash(groupName, epoch));
    t.true(await controller.confirmCrash(groupName, epoch + 1), "a group of another epoch has ended");
    t.true(ANSWERING_RULE.crashes > 1, "a single crash quarantines no part");
});

test("a crash of a plain server is counted again with each daemon that reports it", async (t) => {
    const hub = new Hub();
    const context = createContext({ daemonId: LEADER_ID, zone: "z" });
    const quarantine = new CulpritQuarantine(context);
    let probeCount = 0;
    new CrashReportHandler({
        context,
        peers: hub.join({ daemonId: LEADER_ID, zone: "z", host: "", port: 0 }),
        log: { holdsLeaderLease: true, status: () => ({ leaderId: LEADER_ID }) } as never,
        controller: {
            confirmCrash: async () => false,
            confirmServerCrash: async (serverId) => {
                probeCount += 1;
                return serverId === "alive" ? undefined : `${serverId}/7`;
            },
        },
        quarantine,
        onChanged: () => undefined,
    });
    const report = (daemonId: string, serverId: string): Promise<PartReportResponse> => {
        const requests = [{ partIds: [requestCulpritId(daemonId)], hasHead: false }];
        return hub.join({ daemonId, zone: "z", host: "", port: 0 }).call(LEADER_ID, "parts.report", {
            crashes: [],
            serverCrashes: [{ service: "ledger", serverId, requests }],
            served: [],
        });
    };
    t.deepEqual((await report("e1", "s1")).crashedServerIds, ["s1"]);
    t.deepEqual((await report("e2", "s1")).crashedServerIds, ["s1"]);
    t.is(probeCount, 1);
    t.is((await report("e3", "alive")).crashedServerIds, undefined);
    t.deepEqual(quarantine.records(0).map(({ partId, crashedEpochs }) => [partId, crashedEpochs]), [
        [requestCulpritId("e1"), ["s1/7"]],
        [requestCulpritId("e2"), ["s1/7"]],
    ]);
});

test("a plain server that accepts connections counts as crashed", async (t) => {
    const { controller, makeUnresponsive } = startFleet(t, ["e1", "e2"]);
    t.is(await controller.confirmServerCrash("e1"), undefined);
    makeUnresponsive("e1");
    const crashId = await controller.confirmServerCrash("e1");
    t.regex(String(crashId), /^e1\/\d+$/);
    t.is(await controller.confirmServerCrash("e1"), crashId);
    t.is(await controller.confirmServerCrash("gone"), "gone");
});
