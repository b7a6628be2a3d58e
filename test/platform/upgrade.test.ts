import { sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test from "ava";
import type { PlatformEngine } from "./engine.ts";
import { FormerVersion } from "./formerversion.ts";
import { MixedVersions, type Version } from "./mixedversions.ts";

/** Highest epoch that the former version accepted in a report. */
const FORMER_MAX_EPOCH = 2 ** 48;
const DRAIN_MS = 2_000;

const formerVersions: Record<string, FormerVersion> = {
    "": FormerVersion.BeforeDepartures,
    " that don't record unanswered orders": FormerVersion.BeforeUnansweredOrders,
};

/** Answers that callers may get while daemons are exchanged one after the other. */
const allowedStatuses: readonly (number | undefined)[] = [200, 502, 503, 504, undefined];

for (const [title, former] of Object.entries(formerVersions)) {
    // Guards against messages, records, log entries and snapshots that daemons of the former and the present version can't read
    // from each other, in either direction.
    test.serial(`daemons${title} are exchanged for the present version and back, under load and changes`, async (t) => {
        const mixed = new MixedVersions(t, former);
        mixed.start("former");
        await mixed.replaceConfiguration();
        for (const [index, domain] of ["d0", "d0", "d0", "d1", "d1", "d1"].entries()) {
            await mixed.startEngine({ id: `e${index}`, service: "llm", domain });
        }
        const ledgers = await Promise.all(
            ["l1", "l2", "l3"].map((id) => mixed.startEngine({ id, service: "ledger" })),
        );
        await Promise.all(mixed.entries.map((entry) => mixed.waitReady(entry)));
        const waitServed = (path: string): Promise<true> =>
            waitFor(`${path} served by all entry daemons`, async () => {
                const statuses = await Promise.all(mixed.entries.map((entry) => mixed.request(entry, path)));
                return statuses.every((status) => status === 200) ? true : undefined;
            });
        await waitServed("/chat/");
        mixed.sendTraffic(["/chat/", "/pay/", "/read/"]);
        // Control daemons go first, so that former entry daemons meet present ones, and present ones former ones on the way back.
        const steps = [
            { version: "present", daemons: [...mixed.controls, ...mixed.entries] },
            { version: "former", daemons: mixed.controls },
        ] as const;
        for (const { version, daemons } of steps) {
            for (const daemon of daemons) {
                await mixed.exchange(daemon, version);
                await mixed.replaceConfiguration();
            }
            if (version === "present") {
                // Recorded in the log, which daemons of the former version read on the way back.
                await waitFor("an acknowledged drain", () => ledgers[0]?.announceDrain());
            }
            await Promise.all(mixed.controls.map((control) => mixed.waitForConfiguration(control)));
            await waitServed("/chat/");
            await waitServed("/pay/");
        }
        t.deepEqual(mixed.violations, []);
        t.deepEqual(mixed.repeatedIds, []);
        t.deepEqual(mixed.outcomes.filter(({ status }) => !allowedStatuses.includes(status)), []);
        const countOf = (status: number | undefined): string =>
            `${status}: ${mixed.outcomes.filter((outcome) => outcome.status === status).length}`;
        t.log(`requests by status: ${allowedStatuses.map(countOf).join(", ")}`);
    });
}

// Guards against a fleet that stays without groups after an upgrade, because the former version ordered its servers into
// groups with an epoch that it couldn't read itself.
test.serial("groups open again after an upgrade, without a restart of their servers", async (t) => {
    const mixed = new MixedVersions(t, FormerVersion.BeforeDepartures);
    mixed.start("former");
    await mixed.replaceConfiguration();
    await mixed.report("odd", {
        service: "not-named",
        address: "127.0.0.1:9",
        zone: "z",
        slots: 1,
        state: "ready",
        sequence: 1,
        born: 1,
        group: { name: "odd", epoch: FORMER_MAX_EPOCH, rank: 0, state: "open" },
    });
    const engines = await Promise.all(
        ["d0", "d0", "d0", "d1", "d1", "d1"].map((domain, index) =>
            mixed.startEngine({ id: `e${index}`, service: "llm", domain })
        ),
    );
    await waitFor(
        "members with an epoch that is too large",
        () => engines.some(({ member }) => (member.group?.epoch ?? 0) > FORMER_MAX_EPOCH) || undefined,
    );
    for (const daemon of mixed.daemons) {
        await mixed.exchange(daemon, "present");
    }
    await waitFor(
        "a served stream",
        async () => await mixed.request(mixed.entries[0], "/chat/") === 200 ? true : undefined,
    );
    t.deepEqual(mixed.violations, []);
});

// Guards against a departure that is lost with the daemon of the present version that has acknowledged it.
test.serial("a drain that a killed leader has acknowledged is known to the next leader", async (t) => {
    const mixed = new MixedVersions(t, FormerVersion.BeforeDepartures);
    mixed.start("present");
    await mixed.replaceConfiguration();
    const ledgers = await Promise.all(
        ["l1", "l2", "l3"].map((id) => mixed.startEngine({ id, service: "ledger" })),
    );
    await Promise.all(mixed.entries.map((entry) => mixed.waitReady(entry)));
    const ready = { service: "ledger", address: ledgers[0]?.address, zone: "z", slots: 18, state: "ready" };
    const [drained] = ledgers;
    await waitFor("an acknowledged drain", () => drained?.announceDrain());
    if (drained !== undefined) {
        drained.sendsNoRegistrations = true;
    }
    await mixed.leader?.process.kill();
    // The leader has gone with its memory; a report of the time before the drain arrives only now.
    await mixed.report("l1", { ...ready, sequence: 1, born: drained?.bornMs });
    await new Promise((resolve) => setTimeout(resolve, DRAIN_MS));
    for (let count = 0; count < 20; count += 1) {
        await Promise.all(mixed.entries.map((entry) => mixed.request(entry, "/read/")));
    }
    // Two of three control daemons are a majority.
    await waitFor("an acknowledged drain with one control daemon down", () => ledgers[1]?.announceDrain());
    t.deepEqual(mixed.violations, []);
});

/** Longer than the time until the members of a silent head have left and the observation has ended. */
const SILENCE_MS = 10_000;
/** Time in which a leader that takes a member for free orders it into another group. */
const REASSIGNMENT_MS = 3_000;

for (const version of ["former", "present"] satisfies Version[]) {
    // Guards against a VM in two groups: a new leader doesn't know of an order to join that has got no answer from a member.
    test.serial(`members aren't reassigned by the successor of a ${version} leader while a late order may bring them back`, async (t) => {
        const mixed = new MixedVersions(t, FormerVersion.BeforeUnansweredOrders);
        mixed.start(version);
        await mixed.replaceConfiguration();
        const engines = await Promise.all(
            ["e0", "e1", "e2"].map((id) => mixed.startEngine({ id, service: "llm", domain: "d0" })),
        );
        engines.forEach((engine) => engine.unansweredOperations.add("join"));
        const head = await waitFor(
            "an open group",
            () => engines.find(({ member }) => member.acceptsRequests),
        );
        await Promise.all(mixed.entries.map((entry) => mixed.waitReady(entry)));
        const formerEpoch = head.member.group?.epoch ?? 0;
        const members = engines.filter(({ member }) => member.group?.epoch === formerEpoch);
        const { leader } = mixed;
        for (const control of mixed.controls.filter((daemon) => daemon !== leader)) {
            await mixed.exchange(control, "present");
        }
        await leader?.process.kill();
        await waitFor("another leader", () => mixed.leader !== leader || undefined);
        for (const engine of engines) {
            engine.beforeJoin = () => engine.executeLateOrder("join");
        }
        head.fallSilent(SILENCE_MS);
        mixed.sendTraffic(["/chat/"]);
        await waitFor(
            "a member that has left",
            () => members.some(({ member }) => member.group === undefined) || undefined,
        );
        await sleep(REASSIGNMENT_MS);
        t.deepEqual(mixed.violations, []);
        const isServing = ({ member: { acceptsRequests, group } }: PlatformEngine): boolean =>
            acceptsRequests && (group?.epoch ?? 0) > formerEpoch;
        await waitFor("another group", () => engines.some(isServing) || undefined);
        t.deepEqual(mixed.violations, []);
    });
}
