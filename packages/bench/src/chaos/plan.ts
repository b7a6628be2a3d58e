import { Random } from "@greengage/base";

export const FaultKind = {
    DaemonKilled: "daemonKilled",
    DaemonStopped: "daemonStopped",
    DaemonFrozen: "daemonFrozen",
    DaemonIsolated: "daemonIsolated",
    OneWayCut: "oneWayCut",
    HalfOpen: "halfOpen",
    SlowLink: "slowLink",
    ZonePartitioned: "zonePartitioned",
    ZoneRestarted: "zoneRestarted",
    FolderEmptied: "folderEmptied",
    FolderOlder: "folderOlder",
    DomainDark: "domainDark",
    VmKilled: "vmKilled",
    VmFrozen: "vmFrozen",
    VmLeaves: "vmLeaves",
    VmUnreachable: "vmUnreachable",
    VmReset: "vmReset",
    Straggler: "straggler",
    LateAnswers: "lateAnswers",
    LostAnswers: "lostAnswers",
    LedgerLosesAnswers: "ledgerLosesAnswers",
    ReportsCut: "reportsCut",
} as const;

export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** A scheduled fault. `targets` holds ids of daemons, zones, fabric domains or VMs, depending on the kind. */
export interface PlannedFault {
    kind: FaultKind;
    targets: string[];
    atMs: number;
    durationMs: number;
}

/** Possible targets of faults. */
export interface FaultTargets {
    daemonIds: string[];
    voterIds: string[];
    zones: string[];
    domains: string[];
    vmIds: string[];
    ledgerIds: string[];
}

const MIN_GAP_MS = 800;
const MAX_GAP_MS = 3_500;
const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 9_000;
const FIRST_FAULT_MS = 1_000;
// Losing the disks of two of three voters loses accepted edits, so a replaced disk gets time to recover.
const MIN_FOLDER_FAULT_INTERVAL_MS = 30_000;

const FOLDER_FAULT_KINDS: FaultKind[] = [FaultKind.FolderEmptied, FaultKind.FolderOlder];

const pickTargets: Record<FaultKind, (targets: FaultTargets, random: Random) => string[]> = {
    daemonKilled: ({ daemonIds }, random) => [random.pick(daemonIds)],
    daemonStopped: ({ daemonIds }, random) => [random.pick(daemonIds)],
    daemonFrozen: ({ daemonIds }, random) => [random.pick(daemonIds)],
    daemonIsolated: ({ daemonIds }, random) => [random.pick(daemonIds)],
    oneWayCut: ({ daemonIds }, random) => pickPair(daemonIds, random),
    halfOpen: ({ daemonIds }, random) => pickPair(daemonIds, random),
    slowLink: ({ daemonIds }, random) => pickPair(daemonIds, random),
    zonePartitioned: ({ zones }, random) => [random.pick(zones)],
    zoneRestarted: ({ zones }, random) => [random.pick(zones)],
    folderEmptied: ({ voterIds }, random) => [random.pick(voterIds)],
    folderOlder: ({ voterIds }, random) => [random.pick(voterIds)],
    domainDark: ({ domains }, random) => [random.pick(domains)],
    vmKilled: ({ vmIds }, random) => [random.pick(vmIds)],
    vmFrozen: ({ vmIds }, random) => [random.pick(vmIds)],
    vmLeaves: ({ vmIds }, random) => [random.pick(vmIds)],
    vmUnreachable: ({ vmIds }, random) => [random.pick(vmIds)],
    vmReset: ({ vmIds }, random) => [random.pick(vmIds)],
    straggler: ({ vmIds }, random) => [random.pick(vmIds)],
    lateAnswers: ({ vmIds }, random) => [random.pick(vmIds)],
    lostAnswers: ({ vmIds }, random) => [random.pick(vmIds)],
    ledgerLosesAnswers: ({ ledgerIds }, random) => [random.pick(ledgerIds)],
    reportsCut: ({ daemonIds }, random) => [random.pick(daemonIds)],
};

const pickPair = (ids: string[], random: Random): string[] => {
    const first = random.pick(ids);
    return [first, random.pick(ids.filter((id) => id !== first))];
};

/** Plans the faults of a run, excluding the kinds in `without`. The same seed gives the same plan. */
export const planFaults = (
    seed: number,
    durationMs: number,
    targets: FaultTargets,
    without: string[] = [],
): PlannedFault[] => {
    const random = new Random(seed);
    const kinds = Object.values(FaultKind).filter((kind) => !without.includes(kind));
    const plan: PlannedFault[] = [];
    let lastFolderFaultMs = -Infinity;
    for (let atMs = FIRST_FAULT_MS; atMs < durationMs;) {
        const kind = random.pick(kinds);
        const fault = {
            kind,
            targets: pickTargets[kind](targets, random),
            atMs,
            durationMs: MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS),
        };
        const isFolderFault = FOLDER_FAULT_KINDS.includes(kind);
        if (!isFolderFault || atMs - lastFolderFaultMs >= MIN_FOLDER_FAULT_INTERVAL_MS) {
            plan.push(fault);
            lastFolderFaultMs = isFolderFault ? atMs : lastFolderFaultMs;
        }
        // On average, every fourth fault starts together with the next one.
        atMs += random.nextInt(4) === 0 ? 0 : MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
    }
    return plan;
};
