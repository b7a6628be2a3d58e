import { createContext } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import { ANSWERING_RULE, PartQuarantine, PartReportHandler } from "@greengage/fleet";
import type { PartReportResponse } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { startFleet } from "./fixtures.ts";

const LEADER_ID = "leader";

interface LeaderFixture {
    quarantine: PartQuarantine;
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
    const quarantine = new PartQuarantine(context);
    const probedEpochs: number[] = [];
    const state = { hasCrashed };
    new PartReportHandler({
        context,
        peers: hub.join({ daemonId: LEADER_ID, zone: "z", host: "", port: 0 }),
        log: { holdsLeaderLease: isLeader, status: () => ({ leaderId: "other" }) } as never,
        controller: {
            confirmCrash: async (_, epoch) => {
                probedEpochs.push(epoch);
                return state.hasCrashed;
            },
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
