import test from "ava";
import { evaluateEarlyProbes, evaluateProbes, SuspicionVerdict } from "../../packages/fleet/src/suspicion.ts";

const answered = { kind: "answered", pace: 1 } as const;
const silent = { kind: "silent" } as const;
const unreachable = { kind: "silent", isUnreachable: true } as const;
const ended = { kind: "ended" } as const;

const membersOf = (...probes: Parameters<typeof evaluateProbes>[0][number]["probe"][]) =>
    probes.map((probe, rank) => ({ serverId: `server${rank}`, probe }));

// Guards against a group that is given up for a silence of a second.
test("an early report doesn't make a group with a silent member or head lost", (t) => {
    for (const members of [membersOf(answered, silent, answered), membersOf(silent, answered, answered)]) {
        t.not(evaluateProbes(members), SuspicionVerdict.Unknown);
        t.is(evaluateEarlyProbes(members), SuspicionVerdict.Unknown);
    }
});

test("an early report finds members and heads that have ended or are unreachable", (t) => {
    for (const probe of [ended, unreachable]) {
        t.is(evaluateEarlyProbes(membersOf(answered, probe, answered)), SuspicionVerdict.MemberLost);
        t.not(evaluateEarlyProbes(membersOf(probe, answered, answered)), SuspicionVerdict.Unknown);
    }
});

test("an early report of a group whose members mostly don't answer is inconclusive", (t) => {
    t.is(evaluateEarlyProbes(membersOf(answered, unreachable, unreachable)), SuspicionVerdict.Unknown);
});
