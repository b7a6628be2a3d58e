import { createContext, monotonicMs } from "@greengage/base";
import { Hub, HubState, SHORT_TIMING } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { ZoneLease } from "../../packages/membership/src/lease.ts";
import { LeaseAcceptor } from "../../packages/membership/src/leaseacceptor.ts";
import { ZONE } from "./fixtures.ts";

interface Candidate {
    daemonId: string;
    lease: ZoneLease;
    acquiredFences: number[];
    raisedFences: number[];
    reportedFence: number;
}

const startCandidates = (t: ExecutionContext, hub: Hub, count: number): Candidate[] => {
    const acceptorIds = Array.from({ length: count }, (_, index) => `daemon-${index + 1}`);
    return acceptorIds.map((daemonId) => {
        const peers = hub.join({ daemonId, zone: ZONE, host: "", port: 0 });
        new LeaseAcceptor(peers, SHORT_TIMING);
        const acquiredFences: number[] = [];
        const raisedFences: number[] = [];
        const candidate = {
            daemonId,
            acquiredFences,
            raisedFences,
            reportedFence: 0,
        } as unknown as Candidate;
        candidate.lease = new ZoneLease({
            context: createContext({ daemonId, zone: ZONE }),
            peers,
            acceptorIds,
            timing: SHORT_TIMING,
            reportedFences: () => [candidate.reportedFence],
            tableFloor: () => 7,
            onTableFloor: () => undefined,
            onAcquired: (fence) => acquiredFences.push(fence),
            onFenceRaised: (fence) => raisedFences.push(fence),
            onLost: () => undefined,
        });
        candidate.lease.start();
        t.teardown(() => candidate.lease.close());
        return candidate;
    });
};

const waitForHolder = (candidates: Candidate[]): Promise<Candidate> =>
    waitFor("a holder", () => candidates.find(({ lease }) => lease.isValid));

const acquireRequest = (fence: number, holderId: string, leaseMs = SHORT_TIMING.leaseMs) => ({
    zone: ZONE,
    fence,
    holderId,
    leaseMs,
    tableFloor: 3,
});

// Guards against two controllers in one zone when candidates compete, a holder is frozen or connections are lost.
test("competing candidates never hold the lease at the same time, and fencing tokens only increase", async (t) => {
    const hub = new Hub();
    const candidates = startCandidates(t, hub, 3);
    const holderCounts: number[] = [];
    const timer = setInterval(() => {
        const holders = candidates.filter(({ lease }) => lease.isValid);
        holderCounts.push(holders.length);
    }, 5);
    t.teardown(() => clearInterval(timer));
    const first = await waitForHolder(candidates);
    hub.setState(first.daemonId, HubState.Frozen);
    for (const other of candidates.filter((candidate) => candidate !== first)) {
        hub.setCut(first.daemonId, other.daemonId, true);
    }
    const second = await waitFor(
        "a second holder",
        () => candidates.find((candidate) => candidate !== first && candidate.lease.isValid),
    );
    t.true(second.lease.fence > first.lease.fence);
    t.false(first.lease.isValid);
    t.true(Math.max(...holderCounts) <= 1);
});

// Guards against a second lease that an acceptor grants because it lost its state in a restart.
test("a newly started acceptor grants nothing until every lease that it may have granted before has expired", async (t) => {
    const peers = new Hub().join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    const startedAtMs = monotonicMs();
    const acceptor = new LeaseAcceptor(peers, SHORT_TIMING);
    t.false(acceptor.acquire(acquireRequest(1, "a")).granted);
    const isGranted = await waitFor(
        "a grant",
        () => acceptor.acquire(acquireRequest(1, "a")).granted || undefined,
    );
    t.true(isGranted);
    t.true(monotonicMs() - startedAtMs >= SHORT_TIMING.leaseMs + 200);
});

// Guards against stale fencing tokens, leases that outlast the acceptor's wait after a start, and a lost table floor.
test("an acceptor refuses other holders, used tokens and long leases, and keeps the table floor", async (t) => {
    const peers = new Hub().join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    const acceptor = new LeaseAcceptor(peers, SHORT_TIMING);
    await waitFor("a grant", () => acceptor.acquire(acquireRequest(5, "a")).granted || undefined);
    t.false(acceptor.acquire(acquireRequest(6, "b")).granted);
    t.true(acceptor.acquire(acquireRequest(5, "a")).granted);
    t.false(acceptor.acquire(acquireRequest(4, "a")).granted);
    acceptor.release(ZONE, 4, "a");
    t.false(acceptor.acquire(acquireRequest(6, "b")).granted);
    acceptor.release(ZONE, 5, "a");
    t.false(acceptor.acquire(acquireRequest(5, "b")).granted);
    t.false(acceptor.acquire(acquireRequest(6, "b", 60_000)).granted);
    const response = acceptor.acquire({ ...acquireRequest(6, "b"), tableFloor: 1 });
    t.true(response.granted && response.tableFloor === 3 && response.formerHolderIds.includes("a"));
});

// Guards against a zone whose backend servers refuse every order, because they have seen a higher fencing token.
test("a holder raises its fencing token above one that a backend server has seen", async (t) => {
    const candidates = startCandidates(t, new Hub(), 3);
    const holder = await waitForHolder(candidates);
    holder.lease.raiseFence(41);
    await waitFor("a higher token", () => holder.lease.fence > 41 || undefined);
    t.true(holder.lease.isValid);
    t.deepEqual(holder.raisedFences, [42]);
    t.is(holder.acquiredFences.length, 1);
});

// Guards against one odd report after which servers name tokens that no daemon accepts, or no token can be issued.
for (const reportedFence of [2 ** 51, Number.MAX_SAFE_INTEGER, 1e300]) {
    test(`a fencing token that was never issued, ${reportedFence}, changes nothing`, async (t) => {
        const candidates = startCandidates(t, new Hub(), 3);
        candidates.forEach((candidate) => candidate.reportedFence = reportedFence);
        const holder = await waitForHolder(candidates);
        holder.lease.raiseReportedFence(reportedFence);
        holder.lease.raiseReportedFence(41);
        await waitFor("a higher token", () => holder.lease.fence > 41 || undefined);
        t.deepEqual(holder.raisedFences, [42]);
        await holder.lease.close();
        const successor = await waitFor(
            "a successor",
            () => candidates.find((candidate) => candidate !== holder && candidate.lease.isValid),
        );
        t.is(successor.lease.fence, 43);
    });
}

// Guards against a zone that has no controller for leaseMs at every planned restart.
test("a successor acquires a released lease before it would have expired", async (t) => {
    const candidates = startCandidates(t, new Hub(), 3);
    const holder = await waitForHolder(candidates);
    await holder.lease.close();
    const closedAtMs = monotonicMs();
    await waitFor(
        "a successor",
        () => candidates.find((candidate) => candidate !== holder && candidate.lease.isValid),
    );
    t.true(monotonicMs() - closedAtMs < SHORT_TIMING.leaseMs);
});

// Guards against control traffic that grows with the number of daemons in a zone.
test("a candidate calls no acceptor while its own has granted the lease to another daemon", async (t) => {
    const hub = new Hub();
    const peers = hub.join({ daemonId: "daemon-1", zone: ZONE, host: "", port: 0 });
    let acquireCalls = 0;
    let holderChecks = 0;
    let isHeldByOther = true;
    peers.handle("zone.acquire", () => {
        acquireCalls += 1;
        return { granted: false, highestFence: 0 };
    });
    const lease = new ZoneLease({
        context: createContext({ daemonId: "daemon-1", zone: ZONE }),
        peers,
        acceptorIds: ["daemon-1"],
        timing: SHORT_TIMING,
        reportedFences: () => [],
        isHeldByOther: () => {
            holderChecks += 1;
            return isHeldByOther;
        },
        tableFloor: () => 0,
        onTableFloor: () => undefined,
        onAcquired: () => undefined,
        onFenceRaised: () => undefined,
        onLost: () => undefined,
    });
    lease.start();
    t.teardown(() => lease.close());
    await waitFor("several renewal periods", () => holderChecks >= 5 ? true : undefined);
    t.is(acquireCalls, 0);
    isHeldByOther = false;
    await waitFor("a zone.acquire call", () => acquireCalls > 0 ? true : undefined);
});
