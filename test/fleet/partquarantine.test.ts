import { createContext } from "@greengage/base";
import {
    AMBIGUOUS_TRIAL_DELAY_MS,
    ANSWERING_RULE,
    COINCIDENCE_MS,
    CulpritQuarantine,
    FIRST_TRIAL_DELAY_MS,
    MAX_RIVALS,
    ONLY_REQUEST_RULE,
    REPORT_SETTLE_MS,
    SHARED_REQUEST_RULE,
    WAITING_RULE,
} from "@greengage/fleet";
import { requestCulpritId, type UnservedRequest } from "@greengage/protocol";
import test from "ava";

const SERVICE = "llm";

const createQuarantine = (): CulpritQuarantine =>
    new CulpritQuarantine(createContext({ daemonId: "leader", zone: "z" }));

const quarantinedIds = (quarantine: CulpritQuarantine, nowMs: number): string[] =>
    quarantine.view(nowMs).filter(({ isQuarantined }) => isQuarantined).map(({ partId }) => partId);

interface CrashOptions {
    epoch: number;
    atMs: number;
    hasHead?: boolean;
}

/** Records the crash of a group that had begun to answer one request. */
const recordCrash = (
    quarantine: CulpritQuarantine,
    partIds: string[],
    { epoch, atMs, hasHead = true }: CrashOptions,
): void => quarantine.recordCrash(SERVICE, epoch, [{ partIds, hasHead }], atMs);

const recordServed = (quarantine: CulpritQuarantine, partId: string, nowMs: number, ageMs = 0): void =>
    quarantine.recordServed({ service: SERVICE, partIds: [partId], ageMs }, nowMs);

/** Crashes two groups, so that the parts are quarantined. Returns the time of the second crash. */
const quarantineParts = (quarantine: CulpritQuarantine, ...partIds: string[]): number => {
    recordCrash(quarantine, partIds, { epoch: 1, atMs: 0 });
    recordCrash(quarantine, partIds, { epoch: 2, atMs: ANSWERING_RULE.exonerationMs });
    return ANSWERING_RULE.exonerationMs;
};

// Replays a poison request every half second among sound ones with the same first part.
test("a part that crashes one group after the other is quarantined, and parts beside it are not", (t) => {
    const quarantine = createQuarantine();
    recordCrash(quarantine, ["shared", "deadly"], { epoch: 1, atMs: 0 });
    recordServed(quarantine, "shared", 100);
    recordCrash(quarantine, ["shared", "deadly"], { epoch: 2, atMs: 500 });
    t.deepEqual(quarantinedIds(quarantine, 500), ["deadly"]);
});

test("a first part that was served before is not quarantined with the part that crashes engines", (t) => {
    const quarantine = createQuarantine();
    recordCrash(quarantine, ["shared", "deadly"], { epoch: 1, atMs: 0 });
    recordServed(quarantine, "shared", 20, 5_000);
    recordCrash(quarantine, ["shared", "deadly"], { epoch: 2, atMs: 500 });
    t.deepEqual(quarantinedIds(quarantine, 500), ["deadly"]);
});

test("reports of one crash by several daemons count once", (t) => {
    const quarantine = createQuarantine();
    for (let report = 0; report < 10; report += 1) {
        recordCrash(quarantine, ["part"], { epoch: 1, atMs: report * ANSWERING_RULE.exonerationMs });
    }
    t.deepEqual(quarantinedIds(quarantine, 10 * ANSWERING_RULE.exonerationMs), []);
});

// A dark fabric domain takes several groups down at once while requests with a popular part are queued in all of them.
test("a popular part is not quarantined when a fabric domain goes dark", (t) => {
    const quarantine = createQuarantine();
    for (let epoch = 1; epoch <= 2 * WAITING_RULE.crashes; epoch += 1) {
        recordCrash(quarantine, ["popular"], { epoch, atMs: epoch, hasHead: false });
    }
    recordCrash(quarantine, ["popular"], { epoch: 100, atMs: 100 });
    recordCrash(quarantine, ["popular"], { epoch: 101, atMs: 101 });
    t.deepEqual(quarantinedIds(quarantine, ANSWERING_RULE.exonerationMs - 1), []);
    recordServed(quarantine, "popular", 300);
    quarantine.update(WAITING_RULE.exonerationMs);
    t.deepEqual(quarantine.view(WAITING_RULE.exonerationMs), []);
});

test("a part that crashes engines before they begin to answer is quarantined", (t) => {
    const quarantine = createQuarantine();
    for (let epoch = 1; epoch <= WAITING_RULE.crashes; epoch += 1) {
        recordCrash(quarantine, ["deadly", "beside"], { epoch, atMs: epoch * 100, hasHead: false });
        recordServed(quarantine, "beside", epoch * 100 + 50);
    }
    quarantine.update(100 + WAITING_RULE.exonerationMs);
    t.deepEqual(quarantinedIds(quarantine, 100 + WAITING_RULE.exonerationMs), ["deadly"]);
});

test("a part that was sound once is quarantined if it crashes engines now", (t) => {
    const quarantine = createQuarantine();
    for (let epoch = 1; epoch <= WAITING_RULE.crashes; epoch += 1) {
        recordCrash(quarantine, ["part"], { epoch, atMs: epoch * 1_000 });
        recordServed(quarantine, "part", epoch * 1_000, 60_000);
    }
    t.deepEqual(quarantinedIds(quarantine, WAITING_RULE.crashes * 1_000), ["part"]);
});

test("a request that was in flight when its part was quarantined clears it", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "part");
    t.deepEqual(quarantinedIds(quarantine, crashedAtMs), ["part"]);
    recordServed(quarantine, "part", crashedAtMs + 100);
    t.deepEqual(quarantine.view(crashedAtMs + 100), []);
});

test("a quarantined part is tried with one request at a time, and less often after each crash", (t) => {
    const quarantine = createQuarantine();
    const firstTrialAtMs = quarantineParts(quarantine, "deadly") + FIRST_TRIAL_DELAY_MS;
    t.false(quarantine.grantTrial(SERVICE, "deadly", firstTrialAtMs - 1));
    t.true(quarantine.view(firstTrialAtMs)[0]?.isTrialDue);
    t.true(quarantine.grantTrial(SERVICE, "deadly", firstTrialAtMs));
    t.false(quarantine.grantTrial(SERVICE, "deadly", firstTrialAtMs + 1), "the first trial is still running");
    recordCrash(quarantine, ["deadly"], { epoch: 9, atMs: firstTrialAtMs + 100 });
    t.false(quarantine.grantTrial(SERVICE, "deadly", firstTrialAtMs + 100 + FIRST_TRIAL_DELAY_MS));
    t.true(quarantine.grantTrial(SERVICE, "deadly", firstTrialAtMs + 100 + 2 * FIRST_TRIAL_DELAY_MS));
});

test("a trial without an outcome does not leave the part quarantined for good", (t) => {
    const quarantine = createQuarantine();
    const firstTrialAtMs = quarantineParts(quarantine, "part") + FIRST_TRIAL_DELAY_MS;
    t.true(quarantine.grantTrial(SERVICE, "part", firstTrialAtMs));
    t.true(quarantine.grantTrial(SERVICE, "part", firstTrialAtMs + FIRST_TRIAL_DELAY_MS));
});

test("a first part is not rejected with a later part that explains the same crashes", (t) => {
    const quarantine = createQuarantine();
    const trialAtMs = quarantineParts(quarantine, "first", "second") + AMBIGUOUS_TRIAL_DELAY_MS;
    t.deepEqual(quarantinedIds(quarantine, trialAtMs), ["second"]);
    t.true(quarantine.grantTrial(SERVICE, "second", trialAtMs), "the first part may be the cause");
    recordCrash(quarantine, ["first", "second"], { epoch: 3, atMs: trialAtMs + 100 });
    t.false(quarantine.grantTrial(SERVICE, "second", trialAtMs + 100 + FIRST_TRIAL_DELAY_MS));
    t.deepEqual(quarantinedIds(quarantine, trialAtMs + 100), ["second"]);
});

test("a first part that crashes engines without the later part too is quarantined", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "first", "second");
    recordCrash(quarantine, ["first", "third"], { epoch: 3, atMs: crashedAtMs + 100 });
    t.deepEqual(quarantinedIds(quarantine, crashedAtMs + 100).sort(), ["first", "second"]);
});

test("a first part is not rejected when requests that were sent before the quarantine crash more groups", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "first", "second");
    recordServed(quarantine, "first", crashedAtMs, 60_000);
    for (let epoch = 3; epoch < 3 + WAITING_RULE.crashes; epoch += 1) {
        recordCrash(quarantine, ["first", "second"], { epoch, atMs: crashedAtMs + epoch });
    }
    quarantine.update(crashedAtMs + 2 * WAITING_RULE.exonerationMs);
    t.deepEqual(quarantinedIds(quarantine, crashedAtMs + 2 * WAITING_RULE.exonerationMs), ["second"]);
});

test("an earlier crash of a queued neighbour does not get a first part rejected", (t) => {
    const quarantine = createQuarantine();
    recordCrash(quarantine, ["first"], { epoch: 9, atMs: -1_000, hasHead: false });
    t.deepEqual(quarantinedIds(quarantine, quarantineParts(quarantine, "first", "second")), ["second"]);
});

test("a crash by a request that was sent before the quarantine is not a failed trial", (t) => {
    const quarantine = createQuarantine();
    const trialAtMs = quarantineParts(quarantine, "first", "second") + AMBIGUOUS_TRIAL_DELAY_MS;
    recordCrash(quarantine, ["first", "second"], { epoch: 3, atMs: trialAtMs - 1_000 });
    t.true(quarantine.grantTrial(SERVICE, "second", trialAtMs));
});

test("parts beside a quarantined one are not blamed", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "deadly");
    recordCrash(quarantine, ["other", "deadly"], { epoch: 3, atMs: crashedAtMs + 100 });
    recordCrash(quarantine, ["other", "deadly"], { epoch: 4, atMs: crashedAtMs + 900 });
    t.deepEqual(quarantinedIds(quarantine, crashedAtMs + 900), ["deadly"]);
});

test("a late report that a part was served before the crashes ends its quarantine", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "part");
    recordServed(quarantine, "part", crashedAtMs + 50, 5_000);
    t.deepEqual(quarantinedIds(quarantine, crashedAtMs + 50), []);
});

test("a request with many parts does not evict other suspects", (t) => {
    const quarantine = createQuarantine();
    recordCrash(quarantine, ["deadly"], { epoch: 1, atMs: 0 });
    for (let epoch = 2; epoch < 12; epoch += 1) {
        const partIds = Array.from({ length: 500 }, (_, index) => `part-${epoch}-${index}`);
        recordCrash(quarantine, partIds, { epoch, atMs: epoch });
    }
    recordCrash(quarantine, ["deadly"], { epoch: 20, atMs: ANSWERING_RULE.exonerationMs });
    t.true(quarantinedIds(quarantine, ANSWERING_RULE.exonerationMs).includes("deadly"));
});

test("a new leader keeps quarantined parts, crash counts and times of trials", (t) => {
    const former = createQuarantine();
    const crashedAtMs = quarantineParts(former, "deadly");
    recordCrash(former, ["suspect"], { epoch: 7, atMs: crashedAtMs });
    const successor = createQuarantine();
    const restoredAtMs = 1_000_000;
    successor.restore(former.records(crashedAtMs), restoredAtMs);
    t.deepEqual(successor.view(restoredAtMs), former.view(crashedAtMs));
    t.false(successor.grantTrial(SERVICE, "deadly", restoredAtMs + FIRST_TRIAL_DELAY_MS - 1));
    t.true(successor.grantTrial(SERVICE, "deadly", restoredAtMs + FIRST_TRIAL_DELAY_MS));
    const secondCrashAtMs = restoredAtMs + ANSWERING_RULE.exonerationMs;
    recordCrash(successor, ["suspect"], { epoch: 8, atMs: secondCrashAtMs });
    t.deepEqual(quarantinedIds(successor, secondCrashAtMs), ["deadly", "suspect"]);
});

test("many suspects do not evict a quarantined part", (t) => {
    const quarantine = createQuarantine();
    quarantineParts(quarantine, "deadly");
    for (let index = 0; index < 2_000; index += 1) {
        recordCrash(quarantine, [`suspect-${index}`], { epoch: 100 + index, atMs: 1_000 + index });
    }
    t.deepEqual(quarantinedIds(quarantine, 3_000), ["deadly"]);
    t.true(quarantine.view(3_000).length <= 1_000);
});

test("an operator lifts a quarantine", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = quarantineParts(quarantine, "part");
    t.true(quarantine.lift(SERVICE, "part"));
    t.deepEqual(quarantine.view(crashedAtMs), []);
    t.false(quarantine.lift(SERVICE, "part"));
});

const DEADLY = requestCulpritId("deadly");
const SOUND = requestCulpritId("sound");

/** A request that its server had not begun to answer. */
const queued = (...partIds: string[]): UnservedRequest => ({ partIds, hasHead: false });
const answering = (...partIds: string[]): UnservedRequest => ({ partIds, hasHead: true });
const streaming = (...partIds: string[]): UnservedRequest => ({ partIds, hasHead: true, hasEvents: true });

/** Records crashes at an interval of 10 ms. Returns the time at which all reports about them have arrived. */
const recordCrashes = (quarantine: CulpritQuarantine, crashes: UnservedRequest[][], fromMs = 0): number => {
    crashes.forEach((requests, index) =>
        quarantine.recordCrash(SERVICE, fromMs + index + 1, requests, fromMs + 10 * index)
    );
    const settledAtMs = fromMs + 10 * crashes.length
        + Math.max(REPORT_SETTLE_MS, SHARED_REQUEST_RULE.exonerationMs);
    quarantine.update(settledAtMs);
    return settledAtMs;
};

// Replays a request that comes again with the same content, among sound ones that share its first part.
test("a request that crashes group after group is not recognised because sound ones share its parts", (t) => {
    const quarantine = createQuarantine();
    quarantine.recordCrash(SERVICE, 1, [answering("shared", DEADLY)], 0);
    recordServed(quarantine, "shared", 100);
    quarantine.recordCrash(SERVICE, 2, [answering("shared", DEADLY)], 300);
    quarantine.update(300 + REPORT_SETTLE_MS);
    t.deepEqual(quarantinedIds(quarantine, 300 + REPORT_SETTLE_MS), [DEADLY]);
});

test("a popular first part is not rejected instead of the request that crashes groups", (t) => {
    const quarantine = createQuarantine();
    const crashes = Array.from({ length: WAITING_RULE.crashes }, () => [answering("shared", DEADLY)]);
    const settledAtMs = recordCrashes(quarantine, crashes);
    quarantine.update(settledAtMs + WAITING_RULE.exonerationMs);
    t.deepEqual(quarantinedIds(quarantine, settledAtMs + WAITING_RULE.exonerationMs), [DEADLY]);
});

const soundCompanions: Record<string, UnservedRequest[][]> = {
    "was queued beside it at both groups": [
        [answering(DEADLY), queued(SOUND)],
        [answering(DEADLY), queued(SOUND)],
    ],
    "was streaming beside it at both groups": [
        [answering(DEADLY), streaming(SOUND)],
        [answering(DEADLY), streaming(SOUND)],
    ],
    "shares one crash of a plain server": [[queued(DEADLY), queued(SOUND)], [queued(DEADLY)]],
};

for (const [name, crashes] of Object.entries(soundCompanions)) {
    test(`a sound request that ${name} is not rejected with the one that crashes servers`, (t) => {
        const quarantine = createQuarantine();
        t.is(crashes.length, ONLY_REQUEST_RULE.crashes);
        t.deepEqual(quarantinedIds(quarantine, recordCrashes(quarantine, crashes)), [DEADLY]);
    });
}

test("two requests that share both of their crashes are not rejected until a third one", (t) => {
    const quarantine = createQuarantine();
    const both = [queued(DEADLY), queued(SOUND)];
    const settledAtMs = recordCrashes(quarantine, [both, both]);
    t.deepEqual(quarantinedIds(quarantine, settledAtMs), []);
    quarantine.recordServed({ service: SERVICE, partIds: [SOUND], ageMs: 0 }, settledAtMs);
    quarantine.update(settledAtMs);
    t.deepEqual(quarantinedIds(quarantine, settledAtMs), [DEADLY], "the other one was served");
});

test("a request is not blamed before the reports of all daemons about a crash have arrived", (t) => {
    const quarantine = createQuarantine();
    for (const epoch of [1, 2]) {
        quarantine.recordCrash(SERVICE, epoch, [queued(SOUND)], 0);
    }
    t.deepEqual(quarantinedIds(quarantine, 0), []);
    for (const epoch of [1, 2]) {
        quarantine.recordCrash(SERVICE, epoch, [answering(DEADLY)], REPORT_SETTLE_MS - 1);
    }
    quarantine.update(2 * REPORT_SETTLE_MS);
    t.deepEqual(quarantinedIds(quarantine, 2 * REPORT_SETTLE_MS), [DEADLY]);
});

test("a stream whose groups crash after its events is not resumed for ever", (t) => {
    const quarantine = createQuarantine();
    recordCrashes(quarantine, [[streaming("shared", DEADLY)], [streaming("shared", DEADLY)]]);
    // The first event of the next run does not show that the rest of it is harmless.
    recordServed(quarantine, DEADLY, 1_000);
    const settledAtMs = recordCrashes(quarantine, [[streaming("shared", DEADLY)]], 2_000);
    t.deepEqual(quarantinedIds(quarantine, settledAtMs), [DEADLY]);
});

test("a complete response clears a request of all its crashes", (t) => {
    const quarantine = createQuarantine();
    recordCrashes(quarantine, [[streaming(SOUND)], [streaming(SOUND)]]);
    quarantine.recordServed({ service: SERVICE, partIds: [SOUND], ageMs: 0, isComplete: true }, 1_000);
    t.deepEqual(quarantine.view(1_000), []);
});

test("a part that crashes engines is blamed once requests with different contents have crashed them", (t) => {
    const quarantine = createQuarantine();
    const contents = ["a", "b", "c"].map(requestCulpritId);
    recordCrashes(quarantine, contents.map((id) => [answering("shared", "deadly", id)]));
    recordServed(quarantine, "shared", 300);
    quarantine.update(ANSWERING_RULE.exonerationMs);
    t.deepEqual(quarantinedIds(quarantine, ANSWERING_RULE.exonerationMs), ["deadly"]);
});

test("a new leader knows the crashes in the middle of a request's events", (t) => {
    const former = createQuarantine();
    recordCrashes(former, [[streaming(DEADLY)], [streaming(DEADLY)]]);
    const successor = createQuarantine();
    successor.restore(former.records(1_000), 1_000);
    t.deepEqual(successor.records(1_000), former.records(1_000));
});

// A new leader doesn't know the start time of a server that crashed before.
test("one crash of a plain server counts twice after a change of leadership", (t) => {
    const former = createQuarantine();
    former.recordCrash(SERVICE, "s1/7", [queued(SOUND)], 0);
    const successor = createQuarantine();
    successor.restore(former.records(1_000), 1_000);
    successor.recordCrash(SERVICE, "s1", [queued(SOUND)], 2_000);
    successor.update(3_000);
    t.deepEqual(quarantinedIds(successor, 3_000), []);
    successor.recordCrash(SERVICE, "s1/8", [queued(SOUND)], 4_000);
    successor.update(5_000);
    t.deepEqual(quarantinedIds(successor, 5_000), [SOUND], "another incarnation has crashed");
});

test("requests beside one in quarantine stay suspects", (t) => {
    const quarantine = createQuarantine();
    const neighbour = requestCulpritId("neighbour");
    const settledAtMs = recordCrashes(quarantine, [
        [answering(DEADLY), queued(SOUND)],
        [answering(DEADLY)],
        [queued(SOUND), queued(neighbour)],
    ]);
    t.deepEqual(quarantinedIds(quarantine, settledAtMs), [DEADLY]);
    const crashCounts = quarantine.records(settledAtMs).map((
        { partId, crashedEpochs },
    ) => [partId, crashedEpochs.length]);
    t.deepEqual(crashCounts, [[DEADLY, 2], [SOUND, 1], [neighbour, 1]]);
});

// Replays engines that crash before a response head, where a part can't be told from the one before it.
test("a trial that crashes a group before its response head is repeated every few seconds", (t) => {
    const quarantine = createQuarantine();
    const trialAtMs = quarantineParts(quarantine, "first", "second") + AMBIGUOUS_TRIAL_DELAY_MS;
    t.true(quarantine.grantTrial(SERVICE, "second", trialAtMs));
    recordCrash(quarantine, ["first", "second"], { epoch: 3, atMs: trialAtMs + 4_000, hasHead: false });
    t.false(quarantine.grantTrial(SERVICE, "second", trialAtMs + FIRST_TRIAL_DELAY_MS));
    t.true(quarantine.grantTrial(SERVICE, "second", trialAtMs + 4_000 + 2 * FIRST_TRIAL_DELAY_MS));
});

test("a rare first part is rejected with the request that crashes groups", (t) => {
    const quarantine = createQuarantine();
    const crashedAtMs = [0, ANSWERING_RULE.exonerationMs, 2 * ANSWERING_RULE.exonerationMs];
    for (const [epoch, atMs] of crashedAtMs.entries()) {
        quarantine.recordCrash(SERVICE, epoch, [answering("rare", DEADLY)], atMs);
        quarantine.update(atMs + REPORT_SETTLE_MS);
        t.deepEqual(quarantinedIds(quarantine, atMs + REPORT_SETTLE_MS), epoch === 0 ? [] : [DEADLY]);
    }
});

const POPULAR = "popular";

const outageVictims: Record<string, (epoch: number) => UnservedRequest> = {
    [SOUND]: () => queued(SOUND),
    [POPULAR]: (epoch) => queued(POPULAR, requestCulpritId(`${epoch}`)),
};

for (const [popularId, victimOf] of Object.entries(outageVictims)) {
    for (const reportedAtMs of [1, 10 * WAITING_RULE.exonerationMs]) {
        test(`all servers of a service crash at once, and ${popularId} is rejected, ${reportedAtMs}`, (t) => {
            const quarantine = createQuarantine();
            quarantine.recordCrash(SERVICE, 0, [victimOf(0)], 0);
            for (let epoch = 1; epoch <= 2 * WAITING_RULE.crashes; epoch += 1) {
                quarantine.recordCrash(SERVICE, epoch, [victimOf(epoch)], epoch);
            }
            quarantine.update(reportedAtMs);
            recordServed(quarantine, popularId, reportedAtMs, reportedAtMs + 1_000);
            const settledAtMs = 20 * WAITING_RULE.exonerationMs;
            quarantine.update(settledAtMs);
            t.deepEqual(quarantinedIds(quarantine, settledAtMs), []);
        });
    }
}

test("a request that was served once is not blamed for later crashes", (t) => {
    const quarantine = createQuarantine();
    quarantine.recordCrash(SERVICE, 1, [queued(DEADLY)], 0);
    recordServed(quarantine, DEADLY, 1, 1_000);
    quarantine.recordCrash(SERVICE, 2, [queued(DEADLY)], COINCIDENCE_MS);
    quarantine.update(COINCIDENCE_MS + REPORT_SETTLE_MS);
    t.deepEqual(quarantinedIds(quarantine, COINCIDENCE_MS + REPORT_SETTLE_MS), [DEADLY]);
});

// Guards against a faulty release of the servers, for whose crashes all requests would be rejected also after its rollback.
test("all requests in progress at three crashes are rejected", (t) => {
    const quarantine = createQuarantine();
    const requests = Array.from(
        { length: 2 + MAX_RIVALS },
        (_, index) => queued(requestCulpritId(`${index}`)),
    );
    t.deepEqual(quarantinedIds(quarantine, recordCrashes(quarantine, [requests, requests, requests])), []);
});
