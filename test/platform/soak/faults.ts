import { type Random, sleep } from "@greengage/base";
import { LinkMode } from "@greengage/faults";
import type { SoakDaemon, SoakEngine, SoakSystem } from "./system.ts";

type End = () => void | Promise<void>;
type Fault = (system: SoakSystem, random: Random, durationMs: number) => Promise<End> | End;

/** Source of all connections through the proxies. */
const LOOPBACK = "127.0.0.1";
const MIN_GAP_MS = 400;
const MAX_GAP_MS = 2_500;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 5_000;
/** A lost disk needs time to be replaced; two of three at once lose what was acknowledged. */
const DISK_PAUSE_MS = 12_000;
const RESET_GAP_MS = 150;
/** An engine stays for longer than the 2.5 s in which requests may still reach it. */
const DRAIN_STAY_MS = 3_000;
const RESTART_PAUSE_MS = 300;
/** Added to each direction: far above a region's delay, and below the limits of calls. */
const SLOW_LINK_MS = 120;
const NOTHING: End = () => undefined;

/** Daemons that run and are under no other fault of their process. */
const freeDaemons = (daemons: SoakDaemon[]): SoakDaemon[] =>
    daemons.filter(({ process, isHeld }) => process.isRunning && !isHeld);

/** Holds daemons for one fault of their processes. `apply` returns how it ends. */
const hold = async (
    daemons: SoakDaemon[],
    apply: (daemon: SoakDaemon) => Promise<End> | End,
): Promise<End> => {
    daemons.forEach((daemon) => daemon.isHeld = true);
    const ends = await Promise.all(daemons.map(apply));
    return async () => {
        for (const end of ends) {
            await end();
        }
        daemons.forEach((daemon) => daemon.isHeld = false);
    };
};

const holdOne = (
    pick: (system: SoakSystem) => SoakDaemon[],
    apply: (daemon: SoakDaemon, system: SoakSystem) => Promise<End> | End,
): Fault =>
async (system, random) => {
    const candidates = freeDaemons(pick(system));
    const chosen = candidates.length === 0 ? [] : [random.pick(candidates)];
    return await hold(chosen, (daemon) => apply(daemon, system));
};

const killDaemon = async (daemon: SoakDaemon, system: SoakSystem, emptiesFolder = false): Promise<End> => {
    await daemon.process.kill();
    return () => system.restart(daemon, { emptiesFolder });
};

const stopDaemon = async (daemon: SoakDaemon, system: SoakSystem): Promise<End> => {
    await daemon.process.stop();
    return () => system.restart(daemon);
};

const freezeDaemon = ({ process }: SoakDaemon): End => {
    process.freeze();
    return () => process.thaw();
};

const withEngine = (
    pick: (engine: SoakEngine) => boolean,
    apply: (slot: SoakEngine, system: SoakSystem, durationMs: number) => Promise<End> | End,
): Fault =>
(system, random, durationMs) => apply(random.pick(system.engines.filter(pick)), system, durationMs);

const isModel = ({ domain }: SoakEngine): boolean => domain !== undefined;
const isLedger = ({ domain }: SoakEngine): boolean => domain === undefined;
const isAny = (): boolean => true;

const link = (
    pick: (engine: SoakEngine) => boolean,
    change: Parameters<SoakEngine["proxy"]["setFault"]>[1],
): Fault =>
    withEngine(pick, ({ proxy }) => {
        proxy.setFault(LOOPBACK, change);
        return () => proxy.heal();
    });

const crash = async (slot: SoakEngine, system: SoakSystem, durationMs: number): Promise<End> => {
    await system.replaceEngine(slot, durationMs);
    return NOTHING;
};

/** Connections break several times in a row, as requests of the next ones are under way. */
const resetLink = async ({ proxy }: SoakEngine, _: SoakSystem, durationMs: number): Promise<End> => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += RESET_GAP_MS) {
        proxy.reset();
        await sleep(RESET_GAP_MS);
    }
    return NOTHING;
};

const drain = async (slot: SoakEngine, system: SoakSystem): Promise<End> => {
    await slot.engine.announceDrain();
    await sleep(DRAIN_STAY_MS);
    await system.replaceEngine(slot, RESTART_PAUSE_MS);
    return NOTHING;
};

/** Faults from outside the processes, by kind. */
export const faults: Record<string, Fault> = {
    controlKilled: holdOne(({ controls }) => controls, killDaemon),
    controlStopped: holdOne(({ controls }) => controls, stopDaemon),
    controlFrozen: holdOne(({ controls }) => controls, freezeDaemon),
    controlEmptied: holdOne(({ controls }) => controls, (daemon, system) => killDaemon(daemon, system, true)),
    controlsKilled: (system) => hold(freeDaemons(system.controls), (daemon) => killDaemon(daemon, system)),
    entryKilled: holdOne(({ entries }) => entries, killDaemon),
    entryStopped: holdOne(({ entries }) => entries, stopDaemon),
    entryFrozen: holdOne(({ entries }) => entries, freezeDaemon),
    settingsChanged: (system, random) => {
        const daemon = random.pick(system.daemons);
        system.writeSettings(daemon, { seeds: [...system.seedsOf(daemon)].reverse() });
        if (random.nextInt(2) === 0 && daemon.process.isRunning) {
            process.kill(daemon.process.processId, "SIGHUP");
        }
        return NOTHING;
    },
    callersReset: (system, random) => {
        random.pick(system.entries).proxy?.reset();
        return NOTHING;
    },
    callersDelayed: (system, random) => {
        const { proxy } = random.pick(system.entries);
        proxy?.setFault(LOOPBACK, {
            toTarget: { delayMs: SLOW_LINK_MS },
            toSource: { delayMs: SLOW_LINK_MS },
        });
        return () => proxy?.heal();
    },
    engineCrashed: withEngine(isModel, crash),
    engineFrozen: withEngine(isModel, ({ engine }) => {
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
    engineDrains: withEngine(isAny, drain),
    ordersLate: withEngine(isModel, ({ engine }, _, durationMs) => {
        engine.orderDelayMs = durationMs / 2;
        return () => {
            engine.orderDelayMs = 0;
        };
    }),
    answersLost: withEngine(isLedger, ({ engine }) => {
        engine.losesAnswers = true;
        return () => {
            engine.losesAnswers = false;
        };
    }),
    idleDropped: withEngine(isAny, ({ engine }) => {
        const timer = setInterval(() => engine.dropIdleConnections(), 20);
        return () => clearInterval(timer);
    }),
    linkReset: withEngine(isModel, resetLink),
    ledgerLinkReset: withEngine(isLedger, resetLink),
    ledgerCrashed: withEngine(isLedger, crash),
    ledgerLinkSilent: link(isLedger, { toSource: { mode: LinkMode.Swallow } }),
    linkRefused: link(isAny, { refuse: true }),
    linkDelayed: link(isAny, {
        toTarget: { delayMs: SLOW_LINK_MS },
        toSource: { delayMs: SLOW_LINK_MS, reorderMs: 100 },
    }),
    linkHeldOneWay: link(isAny, { toSource: { mode: LinkMode.Hold } }),
    linkSilent: link(isAny, { toTarget: { mode: LinkMode.Swallow }, toSource: { mode: LinkMode.Swallow } }),
};

const DISK_KINDS = ["controlEmptied"];

/** Applies the faults of a seed, in series and overlapping, and ends each after its time. */
export const runFaults = async (
    system: SoakSystem,
    random: Random,
    durationMs: number,
    onFault: (kind: string, faultMs: number) => void,
): Promise<void> => {
    const kinds = Object.keys(faults);
    const open: Promise<void>[] = [];
    let diskFaultAtMs = -Infinity;
    for (let atMs = 0; atMs < durationMs;) {
        const kind = random.pick(kinds);
        const faultMs = MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
        // Every fourth fault comes together with the next one.
        const gapMs = random.nextInt(4) === 0 ? 0 : MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
        const isTooSoon = DISK_KINDS.includes(kind) && atMs - diskFaultAtMs < DISK_PAUSE_MS;
        if (!isTooSoon) {
            diskFaultAtMs = DISK_KINDS.includes(kind) ? atMs : diskFaultAtMs;
            onFault(kind, faultMs);
            open.push(applyFault(system, random, kind, faultMs));
        }
        await sleep(gapMs);
        atMs += gapMs;
    }
    await Promise.all(open);
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
