import { Lifecycle, monotonicMs, Random, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { PlacementName } from "@greengage/membership";
import { InProcessZone } from "../zone/zone.ts";
import { bestPacking, type PackedModel } from "./packing.ts";

const ZONE = "suva-a";
const DAEMON = `${ZONE}-1`;
const DOMAINS = 3;
const VMS_PER_DOMAIN = 10;
const ACCELERATORS = 8;
// As a load of one minute to a VM that is away for four to ten minutes.
const LOAD_MS = 1_000;
const CACHED_LOAD_MS = 20;
const RUN_MS = 60_000;
const FAULT_PERIOD_MS = 3_000;
const SEED = 7;

const MODELS: Record<string, PackedModel> = {
    large: { vmsPerReplica: 4, replicas: 4 },
    small: { vmsPerReplica: 2, replicas: 7 },
};

interface Fault {
    atMs: number;
    vmIds: string[];
    downMs: number;
}

interface Figures {
    /** Lower bound for the groups that this run formed before the faults. */
    perfectGroupDowntimeS: number;
    groupDowntimeS: number;
    strandedAcceleratorS: number;
    groupDowntimeByCauseS: object;
    strandedByCauseS: object;
}

const vmIdOf = (domain: number, index: number): string => `rack-${domain + 1}-vm-${index + 1}`;

/** The same faults for every policy: single VMs that fail and return, and one fabric domain for a while. */
const faultsOf = (seed: number): Fault[] => {
    const random = new Random(seed);
    const faults: Fault[] = [];
    for (let atMs = FAULT_PERIOD_MS; atMs < RUN_MS - 10_000; atMs += FAULT_PERIOD_MS) {
        const vmId = vmIdOf(random.nextInt(DOMAINS), random.nextInt(VMS_PER_DOMAIN));
        faults.push({ atMs, vmIds: [vmId], downMs: 4_000 + random.nextInt(6_000) });
    }
    const domain = random.nextInt(DOMAINS);
    const vmIds = Array.from({ length: VMS_PER_DOMAIN }, (_, index) => vmIdOf(domain, index));
    faults.push({ atMs: RUN_MS / 2, vmIds, downMs: 5_000 });
    return faults;
};

const rowsOf = (downtimeWeight: number): { kind: "model" | "setting"; name: string; columns: object; }[] => [
    ...Object.entries(MODELS).map(([name, columns]) => ({ kind: "model" as const, name, columns })),
    { kind: "setting", name: "fleet", columns: { downtimeWeight } },
];

const runPolicy = async (
    placement: PlacementName,
    downtimeWeight: number,
    faults: Fault[],
): Promise<Figures> => {
    const zone = new InProcessZone({
        daemonsPerZone: { [ZONE]: 1 },
        rows: rowsOf(downtimeWeight) as ConstructorParameters<typeof InProcessZone>[0]["rows"],
        placement,
        maxLoads: 8,
    });
    const lifecycle = new Lifecycle();
    try {
        zone.start();
        addFleet(zone);
        await settled(zone);
        const { controller } = zone.daemon(DAEMON).membership;
        const formed = formedModels(zone);
        const before = structuredClone(controller.stats());
        const startedAtMs = monotonicMs();
        for (const fault of faults) {
            lifecycle.child().run((signal) => applyFault(zone, fault, signal), () => undefined);
        }
        await sleep(startedAtMs + RUN_MS - monotonicMs());
        const after = controller.stats();
        return {
            perfectGroupDowntimeS: perfectRepair(faults, formed).groupDowntimeS,
            groupDowntimeS: round(after.groupDowntime.totalS - before.groupDowntime.totalS),
            strandedAcceleratorS: round(
                after.strandedAccelerators.totalS - before.strandedAccelerators.totalS,
            ),
            groupDowntimeByCauseS: difference(after.groupDowntime.byCauseS, before.groupDowntime.byCauseS),
            strandedByCauseS: difference(
                after.strandedAccelerators.byCauseS,
                before.strandedAccelerators.byCauseS,
            ),
        };
    }
    finally {
        await lifecycle.close();
        await zone.close();
    }
};

/** The models with the number of groups that serve. A run that reserves spares forms fewer than the table wants. */
const formedModels = (zone: InProcessZone): PackedModel[] =>
    Object.entries(MODELS).map(([name, { vmsPerReplica }]) => ({
        vmsPerReplica,
        replicas: zone.serving(DAEMON, name).length,
    }));

const addFleet = (zone: InProcessZone): void => {
    for (let domain = 0; domain < DOMAINS; domain += 1) {
        for (let index = 0; index < VMS_PER_DOMAIN; index += 1) {
            zone.addVm({
                vmId: vmIdOf(domain, index),
                zone: ZONE,
                fabricDomain: `rack-${domain + 1}`,
                accelerators: ACCELERATORS,
                loadMs: LOAD_MS,
            });
        }
    }
};

/** Waits until every group serves and no more are formed. */
const settled = async (zone: InProcessZone): Promise<void> => {
    let sinceMs = monotonicMs();
    let count = 0;
    await waitFor("a settled fleet", () => {
        const groups = zone.groups(DAEMON);
        const isSettled = groups.length > 0 && groups.length === count
            && groups.every((group) => group.state === "serving");
        sinceMs = isSettled ? sinceMs : monotonicMs();
        count = groups.length;
        return monotonicMs() - sinceMs > 1_500 ? true : undefined;
    });
};

/** A failed VM comes back as a new process; its local disk keeps the weights. */
const applyFault = async (zone: InProcessZone, fault: Fault, signal: AbortSignal): Promise<void> => {
    await sleep(fault.atMs, signal);
    const vms = fault.vmIds.map((vmId) => zone.vms.get(vmId)).filter((vm) => vm?.isUp);
    for (const vm of vms) {
        (vm as { isUp: boolean; }).isUp = false;
    }
    await sleep(fault.downMs, signal);
    if (!signal.aborted) {
        vms.forEach((vm) => vm?.restart());
    }
};

/**
 * Lower bound of a perfect repair: detection at once, the best packing of the healthy VMs at each moment without
 * moves that cost time, and one load from the local disk for each fault.
 */
const perfectRepair = (
    faults: Fault[],
    models: PackedModel[],
): { groupDowntimeS: number; strandedAcceleratorS: number; } => {
    const edges = [...new Set([0, RUN_MS, ...faults.flatMap(({ atMs, downMs }) => [atMs, atMs + downMs])])]
        .filter((atMs) => atMs <= RUN_MS).sort((a, b) => a - b);
    const wanted = bestPacking(Array.from({ length: DOMAINS }, () => VMS_PER_DOMAIN), models, () => 1);
    let downtimeMs = faults.length * CACHED_LOAD_MS;
    let strandedMs = 0;
    for (const [index, fromMs] of edges.slice(0, -1).entries()) {
        const lengthMs = (edges[index + 1] ?? fromMs) - fromMs;
        const down = new Set(
            faults.filter(({ atMs, downMs }) => atMs <= fromMs && fromMs < atMs + downMs).flatMap((
                { vmIds },
            ) => vmIds),
        );
        const healthy = Array.from(
            { length: DOMAINS },
            (_, domain) =>
                Array.from({ length: VMS_PER_DOMAIN }, (__, vm) => vmIdOf(domain, vm)).filter((vmId) =>
                    !down.has(vmId)
                ).length,
        );
        const packed = bestPacking(healthy, models, ({ vmsPerReplica }) => vmsPerReplica);
        const total = healthy.reduce((sum, count) => sum + count, 0);
        strandedMs += (total - packed) * ACCELERATORS * lengthMs;
        downtimeMs += Math.max(0, wanted - bestPacking(healthy, models, () => 1)) * lengthMs;
    }
    return { groupDowntimeS: round(downtimeMs / 1_000), strandedAcceleratorS: round(strandedMs / 1_000) };
};

const difference = (after: object, before: object): object => {
    const earlier = new Map<string, number>(Object.entries(before));
    return Object.fromEntries(
        Object.entries(after).map(([cause, seconds]) =>
            [cause, round(Number(seconds) - (earlier.get(cause) ?? 0))] as const
        ),
    );
};

const round = (value: number): number => Math.round(value * 10) / 10;

/** Runs the same faults under each policy and weight, all at once in one process. */
export const measureRepair = async (): Promise<object> => {
    const faults = faultsOf(SEED);
    const [firstFit1, firstFit0, bestFit1, bestFit0] = await Promise.all([
        runPolicy(PlacementName.FirstFit, 1, faults),
        runPolicy(PlacementName.FirstFit, 0, faults),
        runPolicy(PlacementName.BestFit, 1, faults),
        runPolicy(PlacementName.BestFit, 0, faults),
    ]);
    const runs = { firstFit1, firstFit0, bestFit1, bestFit0 };
    return {
        seed: SEED,
        runS: RUN_MS / 1_000,
        faults: faults.length,
        perfect: perfectRepair(faults, Object.values(MODELS)),
        ...runs,
    };
};
