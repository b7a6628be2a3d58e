import { Random } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { GroupView } from "@greengage/protocol";
import { GroupLoads, GroupSelector, strategies } from "@greengage/routing";
import test from "ava";
import { groupOf } from "./fixtures.ts";

const groupsOf = (count: number, fields: Partial<GroupView> = {}): GroupView[] =>
    Array.from({ length: count }, (_, index) => groupOf({ groupId: `group-${index}`, ...fields }));

const longBody = (text: string): Record<string, unknown> => ({
    messages: [{ role: "system", content: text.repeat(200) }, { role: "user", content: "Umbrellas left?" }],
});

const createSelector = (loads: GroupLoads): GroupSelector =>
    new GroupSelector({ loads, zone: "zone-a", random: new Random(1) });

test("every strategy picks one of the groups, and load-aware strategies avoid the loaded group", (t) => {
    const groups = groupsOf(2);
    for (const [name, strategy] of Object.entries(strategies)) {
        const random = new Random(1);
        const score = (group: GroupView): number => group.groupId === "group-0" ? 1 : 0;
        const picks = Array.from(
            { length: 50 },
            (_, turn) => strategy(groups, { score, random, choiceIndex: turn }),
        );
        const isLoadAware = name === "leastInFlight" || name === "twoChoices";
        t.is(picks.filter((group) => group.groupId === "group-0").length === 0, isLoadAware, name);
    }
});

test("groups of the own zone are preferred while they have free slots", (t) => {
    const groups = [groupOf({ groupId: "near" }), groupOf({ groupId: "far", zone: "zone-b" })];
    const selector = createSelector(new GroupLoads());
    t.is(selector.select(groups, groups, undefined).groupId, "near");
    t.is(selector.select(groups, groups.slice(1), undefined).groupId, "far");
});

// Guards against a hot prefix that overloads its group, and against prefixes that move needlessly.
test("a prefix stays with its group until the group exceeds the load bound", async (t) => {
    const loads = new GroupLoads();
    const selector = createSelector(loads);
    const groups = groupsOf(8);
    const key = await waitFor("the hash module", () => selector.affinityKey(longBody("kiosk ")));
    t.is(selector.affinityKey({ messages: [{ role: "user", content: "short" }] }), undefined);
    const first = selector.select(groups, groups, key);
    const others = groups.filter((group) => group !== first);
    t.is(selector.select(groups, groups, key), first);
    t.is(selector.select([first, ...others.slice(3)], [first, ...others.slice(3)], key), first);
    loads.begin(first.groupId);
    loads.begin(first.groupId);
    t.not(selector.select(groups, groups, key), first);
});

// Guards against a slow group that still sends its reports and keeps receiving its full share of the requests.
test("a straggler is avoided, and gets requests again when its latency estimate has expired", (t) => {
    let nowMs = 0;
    const loads = new GroupLoads(() => nowMs);
    const groups = groupsOf(4);
    for (const group of groups) {
        for (let sample = 0; sample < 5; sample += 1) {
            loads.recordFirstToken(group.groupId, group.groupId === "group-3" ? 900 : 100);
        }
    }
    t.deepEqual(loads.withoutStragglers(groups).map((group) => group.groupId), [
        "group-0",
        "group-1",
        "group-2",
    ]);
    t.is(loads.withoutStragglers(groups.slice(3), groups).length, 1);
    nowMs = 30_000;
    t.is(loads.withoutStragglers(groups).length, 4);
});

test("reported requests of other daemons lose weight as the report ages", (t) => {
    let nowMs = 0;
    const loads = new GroupLoads(() => nowMs);
    const load = { runningRequests: 5, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 };
    const group = groupOf({ load, maxConcurrent: 10 });
    loads.begin(group.groupId);
    t.is(loads.score(group), 0.5);
    nowMs = 60_000;
    t.true(Math.abs(loads.score(group) - 0.1) < 1e-6);
});
