import { type Random, sleep } from "@greengage/base";
import type { LimitChecker } from "../requestlimits.ts";
import type { SoakEngine, SoakSystem } from "./system.ts";

const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 2_500;
/** Longer than the time by which daemons must heed a limit. */
const MIN_LIMITED_MS = 5_000;
const MAX_LIMITED_MS = 9_000;
const MIN_RATE_PER_S = 0.5;
const MAX_RATE_PER_S = 4;

/** Lets one server after the other name a limit, until `signal` is aborted. Group heads and plain services take turns. */
export const runLimits = async (
    system: SoakSystem,
    checker: LimitChecker,
    random: Random,
    signal: AbortSignal,
): Promise<void> => {
    for (let count = 0; !signal.aborted; count += 1) {
        await sleep(MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS), signal);
        const candidates = system.engines.filter(count % 2 === 0 ? isHead : isPlain);
        if (candidates.length > 0) {
            await limitEngine(random.pick(candidates), checker, random, signal);
        }
    }
};

const isHead = ({ engine }: SoakEngine): boolean => engine.member.acceptsRequests;
const isPlain = ({ domain }: SoakEngine): boolean => domain === undefined;

const limitEngine = async (
    { engine }: SoakEngine,
    checker: LimitChecker,
    random: Random,
    signal: AbortSignal,
): Promise<void> => {
    const requestsPerS = MIN_RATE_PER_S + random.nextFloat() * (MAX_RATE_PER_S - MIN_RATE_PER_S);
    engine.requestLimitPerS = requestsPerS;
    checker.begin(engine.id, requestsPerS);
    await sleep(MIN_LIMITED_MS + random.nextInt(MAX_LIMITED_MS - MIN_LIMITED_MS), signal);
    engine.requestLimitPerS = undefined;
    checker.end(engine.id);
};
