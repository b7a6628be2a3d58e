import { ErrorCode, monotonicMs, Verdict } from "@greengage/base";
import { HubState, InProcessZone } from "@greengage/bench";
import { RequestQuarantine } from "@greengage/daemon";
import { waitFor } from "@greengage/faults";
import { requestCulpritId } from "@greengage/protocol";
import type { BlamedRequest, CrashTarget } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import { type AddressInfo, createServer } from "node:net";

const ZONES = ["zone-a", "zone-b"];
const NO_HEAD = { hasHead: false };

interface Fixture {
    zone: InProcessZone;
    quarantines: Map<string, RequestQuarantine>;
    quarantineOf: (daemonId: string) => RequestQuarantine;
}

const requestOf = (name: string): BlamedRequest => ({
    row: "service/ledger",
    culpritId: requestCulpritId(name),
});

/** A backend server that the controllers no longer know, as its process has ended. */
const goneServer = (id: string): CrashTarget => ({ id, incarnation: "1" });

/** Starts three daemons in each of two zones. */
const startDaemons = async (t: ExecutionContext): Promise<Fixture> => {
    const quarantines = new Map<string, RequestQuarantine>();
    const zone = new InProcessZone({
        daemonsPerZone: Object.fromEntries(ZONES.map((name) => [name, 3])),
        rows: [],
        suspects: ({ context, peers, zones, membership }) => {
            const quarantine = new RequestQuarantine({
                context,
                peers,
                zones,
                directory: () => membership().directory,
                isController: () => membership().lease.isValid,
            });
            quarantines.set(context.daemonId, quarantine);
            return quarantine;
        },
    });
    zone.start();
    t.teardown(async () => {
        await zone.close();
        await Promise.all([...quarantines.values()].map((quarantine) => quarantine.close()));
    });
    await waitFor(
        "grants of both zones at all daemons",
        () =>
            zone.daemons.every(({ membership }) =>
                membership.directory.reachableZones().length === ZONES.length
            )
            || undefined,
    );
    const quarantineOf = (daemonId: string): RequestQuarantine =>
        quarantines.get(daemonId) as RequestQuarantine;
    return { zone, quarantines, quarantineOf };
};

const waitForQuarantine = (
    quarantines: readonly RequestQuarantine[],
    request: BlamedRequest,
    isQuarantined = true,
): Promise<true> =>
    waitFor(
        `quarantined: ${isQuarantined}`,
        () =>
            quarantines.every((quarantine) => quarantine.isQuarantined(request) === isQuarantined)
            || undefined,
    );

// Guards against a request that crashes a server in each zone, or at each daemon, because nobody sums up the crashes.
test("two crashes that daemons of two zones report quarantine a request at all daemons, and no other request", async (t) => {
    const { quarantines, quarantineOf } = await startDaemons(t);
    const [a, b] = [quarantineOf("zone-a-2"), quarantineOf("zone-b-3")];
    const poison = requestOf("poison");
    const bystanders = [requestOf("beside the first"), requestOf("beside the second")] as const;
    const firsts = [poison, bystanders[0]].map((request) =>
        a.recordFailure(request, goneServer("s1"), NO_HEAD)
    );
    t.deepEqual(await Promise.all(firsts), [true, true]);
    t.false(b.isQuarantined(poison));
    await Promise.all(
        [poison, bystanders[1]].map((request) => b.recordFailure(request, goneServer("s2"), NO_HEAD)),
    );
    await waitForQuarantine([...quarantines.values()], poison);
    for (const quarantine of quarantines.values()) {
        t.like(await t.throwsAsync(quarantine.admit(poison)), {
            code: ErrorCode.Quarantined,
            verdict: Verdict.NotRun,
        });
        for (const bystander of bystanders) {
            t.false(await quarantine.admit(bystander));
        }
    }
});

test("a failed connection to a server that accepts others blames no request", async (t) => {
    const { zone, quarantineOf } = await startDaemons(t);
    const listener = createServer((socket) => void socket.destroy());
    await new Promise<void>((resolve) => listener.listen(0, "127.0.0.1", resolve));
    t.teardown(() => void listener.close());
    const { port } = listener.address() as AddressInfo;
    const vm = zone.addVm({
        vmId: "ledger-1",
        zone: "zone-a",
        fabricDomain: "rack-1",
        service: "ledger",
        url: `http://127.0.0.1:${port}`,
    });
    await waitFor(
        "the server at all daemons",
        () =>
            zone.daemons.every(({ membership }) => membership.directory.services("ledger").length === 1)
            || undefined,
    );
    const target = { id: "ledger-1", incarnation: vm.incarnationId };
    const quarantine = quarantineOf("zone-a-1");
    for (const _ of [1, 2, 3]) {
        t.true(await quarantine.recordFailure(requestOf("r1"), target, NO_HEAD));
    }
    t.deepEqual(quarantine.records(monotonicMs()), []);
    listener.close();
    t.true(await quarantine.recordFailure(requestOf("r1"), target, NO_HEAD));
    t.false(await quarantine.recordFailure(requestOf("r1"), goneServer("s2"), NO_HEAD));
    await waitForQuarantine([quarantineOf("zone-b-1")], requestOf("r1"));
});

// Guards against a quarantine that keeps out a sound request that was beside two crashes.
test("a complete response clears a suspect in all zones", async (t) => {
    const { quarantines, quarantineOf } = await startDaemons(t);
    const request = requestOf("r1");
    await quarantineOf("zone-a-1").recordFailure(request, goneServer("s1"), NO_HEAD);
    const hasSuspect = (quarantine: RequestQuarantine): boolean =>
        quarantine.records(monotonicMs()).length > 0;
    await waitFor("the suspect everywhere", () => [...quarantines.values()].every(hasSuspect) || undefined);
    quarantineOf("zone-b-2").recordComplete(request);
    await waitFor("its end", () => ![...quarantines.values()].some(hasSuspect) || undefined);
    t.true(await quarantineOf("zone-b-1").recordFailure(request, goneServer("s2"), NO_HEAD));
});

test("a quarantine outlives the controller of a zone", async (t) => {
    const { zone, quarantines, quarantineOf } = await startDaemons(t);
    const request = requestOf("r1");
    await quarantineOf("zone-a-1").recordFailure(request, goneServer("s1"), NO_HEAD);
    await quarantineOf("zone-a-1").recordFailure(request, goneServer("s2"), NO_HEAD);
    await waitForQuarantine([...quarantines.values()], request);
    const former = await waitFor("a controller", () => zone.controller("zone-a"));
    await zone.crash(former.daemonId);
    const successor = await waitFor("a successor", () => zone.controller("zone-a"));
    const rest = [...quarantines].filter(([id]) => id !== former.daemonId).map(([, quarantine]) =>
        quarantine
    );
    await waitFor(
        "the successor's list",
        () => quarantineOf(successor.daemonId).records(monotonicMs()).length === 1 || undefined,
    );
    await waitForQuarantine(rest, request);
    t.pass();
});

// Guards against a cut-off daemon that sends a request to one server after the other.
test("a daemon without any controller counts its own crashes", async (t) => {
    const { zone, quarantineOf } = await startDaemons(t);
    zone.hub.setState("zone-a-3", HubState.Down);
    const quarantine = quarantineOf("zone-a-3");
    const request = requestOf("r1");
    t.true(await quarantine.recordFailure(request, goneServer("s1"), NO_HEAD));
    t.false(await quarantine.recordFailure(request, goneServer("s2"), NO_HEAD));
    t.true(quarantine.isQuarantined(request));
    t.false(quarantineOf("zone-a-2").isQuarantined(request));
});

// Guards against a third crash while the controller is slow to confirm the first two.
test("a request whose crashes are not confirmed yet is sent to no third server", async (t) => {
    const { zone, quarantineOf } = await startDaemons(t);
    const controllers = ZONES.map((name) => zone.controller(name)?.daemonId ?? "");
    const reporterId = zone.daemons.map(({ daemonId }) => daemonId).find((id) => !controllers.includes(id));
    const quarantine = quarantineOf(reporterId ?? "");
    controllers.forEach((id) => zone.hub.setState(id, HubState.Frozen));
    const request = requestOf("r1");
    t.true(await quarantine.recordFailure(request, goneServer("s1"), NO_HEAD));
    t.false(await quarantine.recordFailure(request, goneServer("s2"), NO_HEAD));
    t.true(quarantine.isQuarantined(request));
    t.like(await t.throwsAsync(quarantine.admit(request)), {
        code: ErrorCode.Quarantined,
        verdict: Verdict.NotRun,
    });
    t.false(await quarantine.admit(requestOf("r2")));
});

test("one trial is granted over all zones, and a crash under it ends it", async (t) => {
    const { zone, quarantines, quarantineOf } = await startDaemons(t);
    const request = requestOf("r1");
    const dueRecord = {
        service: request.row,
        partId: request.culpritId,
        position: 0,
        crashedEpochs: ["s1/1", "s2/1"],
        answeringEpochs: [],
        firstCrashAgeMs: 60_000,
        lastCrashAgeMs: 60_000,
        wasServedBefore: false,
        failedTrialCount: 0,
        isAmbiguous: false,
        nextTrialMs: 0,
    };
    for (const name of ZONES) {
        const { daemonId } = await waitFor("a controller", () => zone.controller(name));
        quarantineOf(daemonId).restore([dueRecord], monotonicMs());
    }
    await waitForQuarantine([...quarantines.values()], request);
    const admissions = await Promise.allSettled(
        [...quarantines.values()].map((quarantine) => quarantine.admit(request)),
    );
    const granted = admissions.filter(({ status }) => status === "fulfilled");
    t.is(granted.length, 1);
    await quarantineOf("zone-b-1").recordFailure(request, goneServer("s3"), NO_HEAD);
    const again = await Promise.allSettled(
        [...quarantines.values()].map((quarantine) => quarantine.admit(request)),
    );
    t.true(again.every(({ status }) => status === "rejected"));
});

test("a lift at one daemon ends a quarantine in all zones", async (t) => {
    const { quarantines, quarantineOf } = await startDaemons(t);
    const request = requestOf("r1");
    await quarantineOf("zone-a-1").recordFailure(request, goneServer("s1"), NO_HEAD);
    await quarantineOf("zone-a-1").recordFailure(request, goneServer("s2"), NO_HEAD);
    await waitForQuarantine([...quarantines.values()], request);
    t.deepEqual(await quarantineOf("zone-b-2").lift(request.culpritId), [request.row]);
    await waitForQuarantine([...quarantines.values()], request, false);
    t.deepEqual(await quarantineOf("zone-b-2").lift(request.culpritId), []);
});
