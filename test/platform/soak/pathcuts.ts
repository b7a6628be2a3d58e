import { monotonicMs, type Random, sleep } from "@greengage/base";
import type { Violations } from "@greengage/bench";
import { PathCut } from "@greengage/faults";
import { CONTACT_MS } from "./deadlycontents.ts";
import type { SoakDaemon } from "./system.ts";

const MIN_GAP_MS = 500;
const MAX_GAP_MS = 3_000;
/** Longer than `CONTACT_MS`, so that some requests are checked. */
const MIN_DURATION_MS = 4_500;
const MAX_DURATION_MS = 7_500;

/** Requests of a group of daemons, each sent once. */
interface Tally {
    servedCount: number;
    count: number;
}

interface Tallies {
    cut: Tally;
    others: Tally;
}

/** How callers of the cut daemons must be served, compared with those of the others. */
interface Bound {
    /** Time after the beginning of the cut from which requests count. */
    fromMs: number;
    /** Least served share at the cut daemons, as a part of that at the others. */
    leastPart: number;
    /** Failures at the cut daemons that are allowed in any case: a number, and a share of all requests. */
    allowedCount: number;
    allowedShare: number;
}

export const bounds = {
    /** The rule of the platform. */
    rule: { fromMs: CONTACT_MS, leastPart: 2 / 3, allowedCount: 10, allowedShare: 0.02 },
    /** The target while nothing else is disrupted. */
    calm: { fromMs: 1_000, leastPart: 0.95, allowedCount: 0, allowedShare: 0 },
} as const satisfies Record<string, Bound>;

/** A cut of the paths from some entry daemons to all servers. */
interface ActiveCut {
    daemons: readonly SoakDaemon[];
    description: string;
    beganAtMs: number;
    bound: Bound;
    tallies: Tallies;
}

/** Records the outcome of a request. */
type FinishRequest = (isServed: boolean) => void;

/** Compares how callers of entry daemons without paths to servers are served with those of other entry daemons. */
export class PathCutChecker {
    readonly #violations: Violations;
    readonly #cuts: ActiveCut[] = [];
    #active: ActiveCut | undefined;

    constructor(violations: Violations) {
        this.#violations = violations;
    }

    beginCut(daemons: readonly SoakDaemon[], description: string, bound: Bound): void {
        this.#active = {
            daemons,
            description,
            beganAtMs: monotonicMs(),
            bound,
            tallies: { cut: { servedCount: 0, count: 0 }, others: { servedCount: 0, count: 0 } },
        };
        this.#cuts.push(this.#active);
    }

    endCut(): void {
        this.#active = undefined;
    }

    /** Begins to watch a request that is sent now. It doesn't count if its daemon is stopped or frozen by then or later. */
    beginRequest(daemon: SoakDaemon): FinishRequest {
        const cut = this.#active;
        const isCounted = cut !== undefined && monotonicMs() - cut.beganAtMs >= cut.bound.fromMs
            && !isDisrupted(daemon);
        if (!isCounted) {
            return () => undefined;
        }
        const tally = cut.tallies[cut.daemons.includes(daemon) ? "cut" : "others"];
        return (isServed) => {
            if (!isDisrupted(daemon)) {
                tally.count += 1;
                tally.servedCount += isServed ? 1 : 0;
            }
        };
    }

    /** Reports the cuts whose bounds were exceeded. Returns a line for each cut. */
    check(): string[] {
        return this.#cuts.map(({ description, bound, tallies: { cut, others } }) => {
            const line =
                `${description}: ${cut.servedCount} of ${cut.count} served at the cut daemons from ${bound.fromMs} ms, `
                + `${others.servedCount} of ${others.count} at the others`;
            const allowedCount = bound.allowedCount + bound.allowedShare * (cut.count + others.count);
            const isWorse = cut.servedCount * others.count < bound.leastPart * others.servedCount * cut.count;
            if (isWorse && cut.count - cut.servedCount > allowedCount) {
                this.#violations.add("RECOVER", line);
            }
            return line;
        });
    }
}

const isDisrupted = ({ hasProcessFault, processFaultEndedAtMs }: SoakDaemon): boolean =>
    hasProcessFault || monotonicMs() - processFaultEndedAtMs < CONTACT_MS;

export interface PathCutOptions {
    entries: readonly SoakDaemon[];
    checker: PathCutChecker;
    random: Random;
    onCut: (description: string) => void;
}

/** Cuts the paths of some entry daemons, but not of all, for a while. */
export const cutPaths = async (
    { entries, checker, random, onCut }: PathCutOptions,
    bound: Bound,
    signal?: AbortSignal,
): Promise<void> => {
    const count = 1 + random.nextInt(entries.length - 1);
    const first = random.nextInt(entries.length);
    const daemons = Array.from({ length: count }, (_, index) => entries[(first + index) % entries.length]!);
    const cuts = daemons.map(() => random.pick(Object.values(PathCut)));
    const description = `paths of ${daemons.map(({ name }, index) => `${name} (${cuts[index]})`).join(", ")}`;
    const durationMs = MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
    onCut(`${description} cut for ${durationMs} ms`);
    checker.beginCut(daemons, description, bound);
    await Promise.all(daemons.map(({ links }, index) => links?.cut(cuts[index]!)));
    await sleep(durationMs, signal);
    checker.endCut();
    await Promise.all(daemons.map(({ links }) => links?.heal()));
};

/** Cuts paths again and again until `signal` is aborted. */
export const runPathCuts = async (options: PathCutOptions, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
        await sleep(MIN_GAP_MS + options.random.nextInt(MAX_GAP_MS - MIN_GAP_MS), signal);
        if (!signal.aborted) {
            await cutPaths(options, bounds.rule, signal);
        }
    }
};
