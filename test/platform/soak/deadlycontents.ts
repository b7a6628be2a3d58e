import { monotonicMs, type Random, sleep } from "@greengage/base";
import type { Violations } from "@greengage/bench";

/** Time by which daemons that are not disrupted know what one of them has learned. */
export const CONTACT_MS = 3_000;
/** What crashes the engines. */
export const DeadlyKind = {
    /** A prompt part that several requests share. */
    Part: "part",
    /** A streaming request that comes again with the same path, caller and body. */
    Stream: "stream",
    /** The same for a request to a plain service. */
    Payment: "payment",
} as const;

export type DeadlyKind = typeof DeadlyKind[keyof typeof DeadlyKind];

/** Crashes after which requests with a content must not reach engines any more. */
const toleratedCrashes: Record<DeadlyKind, number> = { part: 5, stream: 3, payment: 3 };

/** Names that the engines recognise: the id of a part, or the path of a request. */
const nameBuilders: Record<DeadlyKind, (index: number) => string> = {
    part: (index) => `dead${String(index).padStart(4, "0")}`,
    stream: (index) => `/chat/dead-${index}`,
    payment: (index) => `/pay/dead-${index}`,
};

/** Requests that may reach engines after that. */
const TOLERATED_ARRIVALS = 3;
/** Share of the requests of a kind that have a deadly content while there is one. */
const deadlyShares: Record<DeadlyKind, number> = { part: 0.04, stream: 0.12, payment: 0.12 };

/** What the engines have seen of a deadly content. */
interface ContentHistory {
    kind: DeadlyKind;
    crashCount: number;
    /** Time of the crash that used up the tolerance. */
    provenAtMs: number;
    lateArrivalCount: number;
}

/** Contents of requests that crash engines, and the check that requests with a proven one stop reaching engines. */
export class DeadlyContents {
    readonly #random: Random;
    readonly #violations: Violations;
    /** Whether no daemon has been disrupted within `CONTACT_MS`. */
    readonly #isCalm: () => boolean;
    readonly #histories = new Map<string, ContentHistory>();
    readonly #current = new Map<DeadlyKind, string>();
    readonly parts = new Set<string>();
    readonly paths = new Set<string>();

    constructor(random: Random, violations: Violations, isCalm: () => boolean) {
        this.#random = random;
        this.#violations = violations;
        this.#isCalm = isCalm;
    }

    /** Starts sending a new deadly content. Returns the function that ends it. */
    begin(kind: DeadlyKind): () => void {
        const names = kind === DeadlyKind.Part ? this.parts : this.paths;
        const name = nameBuilders[kind](names.size);
        names.add(name);
        this.#histories.set(name, { kind, crashCount: 0, provenAtMs: Infinity, lateArrivalCount: 0 });
        this.#current.set(kind, name);
        return () => {
            if (this.#current.get(kind) === name) {
                this.#current.delete(kind);
            }
        };
    }

    /** Returns the deadly content of a kind for the next request, if it is to have one. */
    draw(kind: DeadlyKind): string | undefined {
        const name = this.#current.get(kind);
        return name !== undefined && this.#random.nextFloat() < deadlyShares[kind] ? name : undefined;
    }

    recordCrash(name: string | undefined): void {
        const history = this.#histories.get(name ?? "");
        if (history === undefined) {
            return;
        }
        history.crashCount += 1;
        if (history.crashCount === toleratedCrashes[history.kind]) {
            history.provenAtMs = monotonicMs();
        }
    }

    /** Records the arrival of a request with these prompt parts, and the path of the request, at an engine. */
    recordArrival(engineId: string, names: readonly string[]): void {
        const nowMs = monotonicMs();
        for (const name of names) {
            const history = this.#histories.get(name);
            if (history === undefined || nowMs <= history.provenAtMs + CONTACT_MS || !this.#isCalm()) {
                continue;
            }
            history.lateArrivalCount += 1;
            if (history.lateArrivalCount > TOLERATED_ARRIVALS) {
                this.#violations.add(
                    "BUDGET",
                    `${engineId} receives ${name} after it has crashed ${history.crashCount} engines`,
                );
            }
        }
    }
}

const REQUEST_KINDS = [DeadlyKind.Stream, DeadlyKind.Payment];
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 1_500;

/** Begins to send a deadly request of each kind, the first one drawn at random, until `signal` is aborted. */
export const runDeadlyRequests = async (
    contents: DeadlyContents,
    random: Random,
    signal: AbortSignal,
): Promise<void> => {
    const kinds = random.nextInt(2) === 0 ? REQUEST_KINDS : [...REQUEST_KINDS].reverse();
    for (const kind of kinds) {
        await sleep(MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS), signal);
        signal.addEventListener("abort", contents.begin(kind), { once: true });
    }
};
