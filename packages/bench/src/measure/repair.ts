import { Lifecycle, monotonicMs, Random, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import { PlacementName } from "@greengage/membership";
import { InProcessZone } from "../zone/zone.ts";
import { bestPacking, type PackedModel } from "./packing.ts";

const ZONE = "suva-a";
const DAEMON = `${ZONE}-1`;
const DOMAIN_COUNT = 3;
const VMS_PER_DOMAIN = 10;
const ACCELERATORS_PER_VM = 8;
// Scaled down: corresponds to a load of one minute with VMs that are down for four to ten minutes.
const COLD_LOAD_MS = 1_000;
const CACHED_LOAD_MS = 20;
const RUN_MS = 60_000;
const FAULT_PERIOD_MS = 3_000;
const SEED = 7;

const MODELS: Record<string, PackedModel> = {
    large: { vmsPerReplica: 4, replicas: 4 },
    small: { vmsPerReplica: 2, replicas: 7 },
};

interface VmFault {
    atMs: number;
    vmIds: string[];
    downMs: number;
}

interface Figures {
    /** Lower bound of the downtime of the groups that this run formed before the faults. */
    perfectGroupDowntimeS: number;
    groupDowntimeS: number;
    strandedAcceleratorS: number;
    groupDowntimeByCauseS: object;
    strandedByCauseS: object;
}

const vmIdOf = (domain: number, index: number): string => `rack-${domain + 1}-vm-${index + 1}`;

/** Plans the faults of all runs: single VMs that fail and return, and one temporary failure of a fabric domain. */
const planFaults = (seed: number): VmFault[] => {
    const random = new Random(seed);
    const faults: VmFault[] = [];
    for (let atMs = FAULT_PERIOD_MS; atMs < RUN_MS - 10_000; atMs += FAULT_PERIOD_MS) {
        const vmId = vmIdOf(random.nextInt(DOMAIN_COUNT), random.nextInt(VMS_PER_DOMAIN));
        faults.push({ atMs, vmIds: [vmId], downMs: 4_000 + random.nextInt(6_000) });
    }
    const domain = random.nextInt(DOMAIN_COUNT);
    const vmIds = Array.from({ length: VMS_PER_DOMAIN }, (_, index) => vmIdOf(domain, index));
    faults.push({ atMs: RUN_MS / 2, vmIds, downMs: 5_000 });
    return faults;
};

const tableRows = (
    downtimeWeight: number,
): { kind: "model" | "setting"; name: string; columns: object; }[] => [
    ...Object.entries(MODELS).map(([name, columns]) => ({ kind: "model" as const, name, columns })),
    { kind: "setting", name: "fleet", columns: { downtimeWeight } },
];

const runPolicy = async (
    placement: PlacementName,
    downtimeWeight: number,
    faults: VmFault[],
): Promise<Figures> => {
    const zone = new InProcessZone({
        daemonsPerZone: { [ZONE]: 1 },
        rows: tableRows(downtimeWeight) as ConstructorParameters<typeof InProcessZone>[0]["rows"],
        placement,
        maxLoads: 8,
    });
    const lifecycle = new Lifecycle();
    try {
        zone.start();
        addVms(zone);
        await waitUntilSettled(zone);
        const { controller } = zone.daemon(DAEMON).membership;
        const formedGroups = formedModels(zone);
        const before = structuredClone(controller.stats());
        const startedAtMs = monotonicMs();
        for (const fault of faults) {
            lifecycle.child().run((signal) => applyFault(zone, fault, signal), () => undefined);
        }
        await sleep(startedAtMs + RUN_MS - monotonicMs());
        const after = controller.stats();
        return {
            perfectGroupDowntimeS: perfectRepair(faults, formedGroups).groupDowntimeS,
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

/** Models with their number of serving groups. A run that reserves spares forms fewer than the table asks for. */
const formedModels = (zone: InProcessZone): PackedModel[] =>
    Object.entries(MODELS).map(([name, { vmsPerReplica }]) => ({
        vmsPerReplica,
        replicas: zone.serving(DAEMON, name).length,
    }));

const addVms = (zone: InProcessZone): void => {
    for (let domain = 0; domain < DOMAIN_COUNT; domain += 1) {
        for (let index = 0; index < VMS_PER_DOMAIN; index += 1) {
            zone.addVm({
                vmId: vmIdOf(domain, index),
                zone: ZONE,
                fabricDomain: `rack-${domain + 1}`,
                accelerators: ACCELERATORS_PER_VM,
                loadMs: COLD_LOAD_MS,
            });
        }
    }
};

/** Waits until every group serves and no more groups form. */
const waitUntilSettled = async (zone: InProcessZone): Promise<void> => {
    let settledSinceMs = monotonicMs();
    let count = 0;
    await waitFor("a stable set of serving groups", () => {
        const groups = zone.groups(DAEMON);
        const isSettled = groups.length > 0 && groups.length === count
            && groups.every((group) => group.state === "serving");
        settledSinceMs = isSettled ? settledSinceMs : monotonicMs();
        count = groups.length;
        return monotonicMs() - settledSinceMs > 1_500 ? true : undefined;
    });
};

/** Takes VMs down for a fault. They return as new processes and keep the weights on their local disk. */
const applyFault = async (zone: InProcessZone, fault: VmFault, signal: AbortSignal): Promise<void> => {
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
 * Lower bounds for an ideal repair: failures are detected immediately, healthy VMs are always packed optimally at
 * no cost for moves, and each fault costs one load from the local disk.
 */
const perfectRepair = (
    faults: VmFault[],
    models: PackedModel[],
): { groupDowntimeS: number; strandedAcceleratorS: number; } => {
    const changeTimesMs = [
        ...new Set([0, RUN_MS, ...faults.flatMap(({ atMs, downMs }) => [atMs, atMs + downMs])]),
    ]
        .filter((atMs) => atMs <= RUN_MS).sort((a, b) => a - b);
    const fullGroupCount = bestPacking(
        Array.from({ length: DOMAIN_COUNT }, () => VMS_PER_DOMAIN),
        models,
        () => 1,
    );
    let downtimeMs = faults.length * CACHED_LOAD_MS;
    let strandedMs = 0;
    for (const [index, fromMs] of changeTimesMs.slice(0, -1).entries()) {
        const lengthMs = (changeTimesMs[index + 1] ?? fromMs) - fromMs;
        const downVmIds = new Set(
            faults.filter(({ atMs, downMs }) => atMs <= fromMs && fromMs < atMs + downMs).flatMap((
                { vmIds },
            ) => vmIds),
        );
        const healthyByDomain = Array.from(
            { length: DOMAIN_COUNT },
            (_, domain) =>
                Array.from({ length: VMS_PER_DOMAIN }, (__, vm) => vmIdOf(domain, vm)).filter((vmId) =>
                    !downVmIds.has(vmId)
                ).length,
        );
        const packedVms = bestPacking(healthyByDomain, models, ({ vmsPerReplica }) => vmsPerReplica);
        const total = healthyByDomain.reduce((sum, count) => sum + count, 0);
        strandedMs += (total - packedVms) * ACCELERATORS_PER_VM * lengthMs;
        downtimeMs += Math.max(0, fullGroupCount - bestPacking(healthyByDomain, models, () => 1)) * lengthMs;
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

/** Runs the same faults under each placement policy and downtime weight, concurrently in one process. */
export const measureRepair = async (): Promise<object> => {
    const faults = planFaults(SEED);
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
