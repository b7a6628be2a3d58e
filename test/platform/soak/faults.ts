import { monotonicMs, type Random, sleep } from "@greengage/base";
import { LinkMode } from "@greengage/faults";
import { DeadlyKind } from "./deadlycontents.ts";
import type { SoakDaemon, SoakEngine, SoakSystem } from "./system.ts";

type EndFault = () => void | Promise<void>;
type Fault = (system: SoakSystem, random: Random, durationMs: number) => Promise<EndFault> | EndFault;

/** Source address of all connections through the proxies. */
const LOOPBACK = "127.0.0.1";
const MIN_GAP_MS = 400;
const MAX_GAP_MS = 2_500;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 5_000;
/** Minimum interval between disk losses: losing two of three disks at once loses acknowledged data. */
const DISK_FAULT_INTERVAL_MS = 12_000;
const RESET_GAP_MS = 150;
/** Time for which an engine stays after its drain: longer than the 2.5 s in which requests may still arrive. */
const DRAIN_WAIT_MS = 3_000;
const RESTART_PAUSE_MS = 300;
/** Latency added to each direction: far above the latency within a region, and below the timeouts of calls. */
const SLOW_LINK_MS = 120;
/** Long enough for the crashes that prove a part, for daemons to learn of it, and for late requests. */
const POISON_MS = 10_000;
const NO_CLEANUP: EndFault = () => undefined;

/** Daemons that are running and have no other process fault. */
const freeDaemons = (daemons: SoakDaemon[]): SoakDaemon[] =>
    daemons.filter(({ process, hasProcessFault }) => process.isRunning && !hasProcessFault);

/** Applies a process fault to daemons and reserves them until it ends. `apply` returns the function that ends it. */
const applyToDaemons = async (
    daemons: SoakDaemon[],
    apply: (daemon: SoakDaemon) => Promise<EndFault> | EndFault,
): Promise<EndFault> => {
    daemons.forEach((daemon) => daemon.hasProcessFault = true);
    const ends = await Promise.all(daemons.map(apply));
    return async () => {
        for (const end of ends) {
            await end();
        }
        for (const daemon of daemons) {
            daemon.hasProcessFault = false;
            daemon.processFaultEndedAtMs = monotonicMs();
        }
    };
};

const onOneDaemon = (
    pick: (system: SoakSystem) => SoakDaemon[],
    apply: (daemon: SoakDaemon, system: SoakSystem) => Promise<EndFault> | EndFault,
): Fault =>
async (system, random) => {
    const candidates = freeDaemons(pick(system));
    const chosen = candidates.length === 0 ? [] : [random.pick(candidates)];
    return await applyToDaemons(chosen, (daemon) => apply(daemon, system));
};

const killDaemon = async (daemon: SoakDaemon, system: SoakSystem, deletesData = false): Promise<EndFault> => {
    await daemon.process.kill();
    return () => system.restart(daemon, { deletesData });
};

const stopDaemon = async (daemon: SoakDaemon, system: SoakSystem): Promise<EndFault> => {
    await daemon.process.stop();
    return () => system.restart(daemon);
};

const freezeDaemon = ({ process }: SoakDaemon): EndFault => {
    process.freeze();
    return () => process.thaw();
};

const onOneEngine = (
    pick: (engine: SoakEngine) => boolean,
    apply: (slot: SoakEngine, system: SoakSystem, durationMs: number) => Promise<EndFault> | EndFault,
): Fault =>
(system, random, durationMs) => apply(random.pick(system.engines.filter(pick)), system, durationMs);

const isModel = ({ domain }: SoakEngine): boolean => domain !== undefined;
const isLedger = ({ domain }: SoakEngine): boolean => domain === undefined;
const isAny = (): boolean => true;

const linkFault = (
    pick: (engine: SoakEngine) => boolean,
    change: Parameters<SoakEngine["proxy"]["setFault"]>[1],
): Fault =>
    onOneEngine(pick, ({ proxy }) => {
        proxy.setFault(LOOPBACK, change);
        return () => proxy.heal();
    });

const crashEngine = async (target: SoakEngine, system: SoakSystem, durationMs: number): Promise<EndFault> => {
    await system.replaceEngine(target, durationMs);
    return NO_CLEANUP;
};

/** Resets the connections repeatedly, so that requests on new connections are reset too. */
const resetLink = async ({ proxy }: SoakEngine, _: SoakSystem, durationMs: number): Promise<EndFault> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += RESET_GAP_MS) {
        proxy.reset();
        await sleep(RESET_GAP_MS);
    }
    return NO_CLEANUP;
};

const drainEngine = async (target: SoakEngine, system: SoakSystem): Promise<EndFault> => {
    await target.engine.announceDrain();
    await sleep(DRAIN_WAIT_MS);
    await system.replaceEngine(target, RESTART_PAUSE_MS);
    return NO_CLEANUP;
};

/** Faults injected from outside the processes, by kind. */
export const faults: Record<string, Fault> = {
    controlKilled: onOneDaemon(({ controls }) => controls, killDaemon),
    controlStopped: onOneDaemon(({ controls }) => controls, stopDaemon),
    controlFrozen: onOneDaemon(({ controls }) => controls, freezeDaemon),
    controlEmptied: onOneDaemon(
        ({ controls }) => controls,
        (daemon, system) => killDaemon(daemon, system, true),
    ),
    controlsKilled: (system) =>
        applyToDaemons(freeDaemons(system.controls), (daemon) => killDaemon(daemon, system)),
    entryKilled: onOneDaemon(({ entries }) => entries, killDaemon),
    entryStopped: onOneDaemon(({ entries }) => entries, stopDaemon),
    entryFrozen: onOneDaemon(({ entries }) => entries, freezeDaemon),
    settingsChanged: (system, random) => {
        const daemon = random.pick(system.daemons);
        system.writeSettings(daemon, { seeds: [...system.seedsOf(daemon)].reverse() });
        if (random.nextInt(2) === 0 && daemon.process.isRunning) {
            process.kill(daemon.process.processId, "SIGHUP");
        }
        return NO_CLEANUP;
    },
    callersReset: (system, random) => {
        random.pick(system.entries).proxy?.reset();
        return NO_CLEANUP;
    },
    callersDelayed: (system, random) => {
        const { proxy } = random.pick(system.entries);
        proxy?.setFault(LOOPBACK, {
            toTarget: { delayMs: SLOW_LINK_MS },
            toSource: { delayMs: SLOW_LINK_MS },
        });
        return () => proxy?.heal();
    },
    engineCrashed: onOneEngine(isModel, crashEngine),
    engineFrozen: onOneEngine(isModel, ({ engine }) => {
        engine.isFrozen = true;
        return () => {
            engine.isFrozen = false;
        };
    }),
    domainFrozen: (system, random) => {
        const { domain } = random.pick(system.engines.filter(isModel));
        const engines = system.engines.filter((slot) => slot.domain === domain).map(({ engine }) => engine);
        engines.forEach((engine) => engine.isFrozen = true);
        return () => engines.forEach((engine) => engine.isFrozen = false);
    },
    engineDrains: onOneEngine(isAny, drainEngine),
    ordersLate: onOneEngine(isModel, ({ engine }, _, durationMs) => {
        engine.orderDelayMs = durationMs / 2;
        return () => {
            engine.orderDelayMs = 0;
        };
    }),
    answersLost: onOneEngine(isLedger, ({ engine }) => {
        engine.dropsAnswers = true;
        return () => {
            engine.dropsAnswers = false;
        };
    }),
    idleDropped: onOneEngine(isAny, ({ engine }) => {
        const timer = setInterval(() => engine.dropIdleConnections(), 20);
        return () => clearInterval(timer);
    }),
    linkReset: onOneEngine(isModel, resetLink),
    ledgerLinkReset: onOneEngine(isLedger, resetLink),
    ledgerCrashed: onOneEngine(isLedger, crashEngine),
    ledgerLinkSilent: linkFault(isLedger, { toSource: { mode: LinkMode.Swallow } }),
    linkRefused: linkFault(isAny, { refuse: true }),
    linkDelayed: linkFault(isAny, {
        toTarget: { delayMs: SLOW_LINK_MS },
        toSource: { delayMs: SLOW_LINK_MS, reorderMs: 100 },
    }),
    linkHeldOneWay: linkFault(isAny, { toSource: { mode: LinkMode.Hold } }),
    linkSilent: linkFault(isAny, {
        toTarget: { mode: LinkMode.Swallow },
        toSource: { mode: LinkMode.Swallow },
    }),
    poison: async ({ deadlyContents }) => {
        const end = deadlyContents.begin(DeadlyKind.Part);
        await sleep(POISON_MS);
        return end;
    },
};

const DISK_FAULT_KINDS = ["controlEmptied"];

/** Applies random faults, in sequence and overlapping, and ends each after a random duration. */
export const runFaults = async (
    system: SoakSystem,
    random: Random,
    durationMs: number,
    onFault: (kind: string, faultMs: number) => void,
): Promise<void> => {
    const kinds = Object.keys(faults);
    const activeFaults: Promise<void>[] = [];
    let diskFaultAtMs = -Infinity;
    for (let atMs = 0; atMs < durationMs;) {
        const kind = random.pick(kinds);
        const faultMs = MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
        // A quarter of the faults start together with the next one.
        const gapMs = random.nextInt(4) === 0 ? 0 : MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
        const isDiskFaultTooSoon = DISK_FAULT_KINDS.includes(kind)
            && atMs - diskFaultAtMs < DISK_FAULT_INTERVAL_MS;
        if (!isDiskFaultTooSoon) {
            diskFaultAtMs = DISK_FAULT_KINDS.includes(kind) ? atMs : diskFaultAtMs;
            onFault(kind, faultMs);
            activeFaults.push(applyFault(system, random, kind, faultMs));
        }
        await sleep(gapMs);
        atMs += gapMs;
    }
    await Promise.all(activeFaults);
};

const applyFault = async (
    system: SoakSystem,
    random: Random,
    kind: string,
    durationMs: number,
): Promise<void> => {
    const end = await faults[kind]?.(system, random, durationMs);
    await sleep(durationMs);
    await end?.();
};
