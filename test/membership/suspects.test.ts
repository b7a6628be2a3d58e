import { HubState, type InProcessZone } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import type { SuspectList } from "@greengage/membership";
import type { SuspectRecord } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { startZone, ZONE } from "./fixtures.ts";

const OTHER_ZONE = "zone-b";

const recordOf = (partId: string): SuspectRecord => ({
    service: "model/assistant",
    partId,
    position: 0,
    crashedEpochs: ["group-1/1"],
    answeringEpochs: [],
    firstCrashAgeMs: 0,
    lastCrashAgeMs: 0,
    wasServedBefore: false,
    failedTrialCount: 0,
    isAmbiguous: false,
});

class FakeSuspects implements SuspectList {
    #records: SuspectRecord[] = [];
    version = 0;

    get ids(): string[] {
        return this.#records.map(({ partId }) => partId);
    }

    records = (): SuspectRecord[] => this.#records;

    restore(records: readonly SuspectRecord[]): void {
        this.#records = [...records];
        this.version += 1;
    }

    adopt(records: readonly SuspectRecord[]): void {
        const added = records.filter(({ partId }) => !this.ids.includes(partId));
        this.restore([...this.#records, ...added]);
    }

    update(): void {
        // These records don't change with time.
    }
}

const startDaemons = (
    t: ExecutionContext,
): { zone: InProcessZone; lists: Map<string, FakeSuspects>; } => {
    const lists = new Map<string, FakeSuspects>();
    const zone = startZone(t, {
        daemonsPerZone: { [ZONE]: 3, [OTHER_ZONE]: 1 },
        suspects: ({ context }) => {
            const list = new FakeSuspects();
            lists.set(context.daemonId, list);
            return list;
        },
    });
    return { zone, lists };
};

const waitForIds = (lists: readonly FakeSuspects[], ids: string[]): Promise<true> =>
    waitFor(
        `the suspects ${ids.join(", ")}`,
        () => lists.every((list) => list.ids.join() === ids.join()) || undefined,
    );

// Guards against daemons that pass on requests that their zone's controller has quarantined.
test("the suspects of a zone's controller reach the daemons of its zone, and are dropped there with its own", async (t) => {
    const { zone, lists } = startDaemons(t);
    const { daemonId } = await waitFor("a controller", () => zone.controller(ZONE));
    const list = lists.get(daemonId) as FakeSuspects;
    const ownZone = [...lists].filter(([id]) => id.startsWith(ZONE)).map(([, other]) => other);
    list.restore([recordOf("r1"), recordOf("r2")]);
    await waitForIds(ownZone, ["r1", "r2"]);
    t.deepEqual(lists.get(`${OTHER_ZONE}-1`)?.ids, []);
    list.restore([recordOf("r2")]);
    await waitForIds(ownZone, ["r2"]);
});

// Guards against a list that is lost with its controller, and against a late grant of the former one.
test("a successor keeps the suspects of the former controller, which takes over the successor's when it returns", async (t) => {
    const { zone, lists } = startDaemons(t);
    const former = await waitFor("a controller", () => zone.controller(ZONE));
    const formerList = lists.get(former.daemonId) as FakeSuspects;
    formerList.restore([recordOf("r1")]);
    const others = zone.daemons.filter((daemon) => daemon.zone === ZONE && daemon !== former);
    const otherLists = others.map(({ daemonId }) => lists.get(daemonId) as FakeSuspects);
    await waitForIds(otherLists, ["r1"]);
    zone.hub.setState(former.daemonId, HubState.Down);
    const successor = await waitFor(
        "a successor",
        () => others.find(({ membership }) => membership.lease.isValid),
    );
    const successorList = lists.get(successor.daemonId) as FakeSuspects;
    await waitForIds([successorList], ["r1"]);
    successorList.adopt([recordOf("r2")]);
    await waitForIds(otherLists, ["r1", "r2"]);
    t.deepEqual(formerList.ids, ["r1"]);
    zone.hub.setState(former.daemonId, HubState.Up);
    await waitForIds([formerList], ["r1", "r2"]);
});
