import { monotonicMs } from "@greengage/base";

/** Attempts at different servers that have to fail before this daemon counts as cut off. */
const MIN_UNREACHED_SERVERS = 2;
const MIN_UNREACHED_ATTEMPTS = 6;
/** After this time without an attempt, the daemon counts as reaching servers again, so that requests find out. */
const UNREACHED_TTL_MS = 1_500;
/** While the daemon is cut off, one request in this time is let through to find out whether it still is. */
const TRIAL_INTERVAL_MS = 250;

/** Whether this daemon reaches backend servers on any path, as far as its latest attempts show. */
export class Reachability {
    readonly #unreachedAddresses = new Set<string>();
    #unreachedCount = 0;
    #lastUnreachedAtMs = -Infinity;
    #lastTrialAtMs = -Infinity;

    /** Records whether a server was reached, directly or through a peer. */
    record(address: string, isReached: boolean): void {
        if (isReached) {
            this.#unreachedAddresses.clear();
            this.#unreachedCount = 0;
            return;
        }
        this.#unreachedAddresses.add(address);
        this.#unreachedCount += 1;
        this.#lastUnreachedAtMs = monotonicMs();
    }

    get reachesServers(): boolean {
        return this.#unreachedCount < MIN_UNREACHED_ATTEMPTS
            || this.#unreachedAddresses.size < MIN_UNREACHED_SERVERS
            || monotonicMs() - this.#lastUnreachedAtMs > UNREACHED_TTL_MS;
    }

    /** Whether a request may be attempted; while no server is reached, only now and then. */
    mayAttempt(): boolean {
        const nowMs = monotonicMs();
        if (this.reachesServers || nowMs - this.#lastTrialAtMs >= TRIAL_INTERVAL_MS) {
            this.#lastTrialAtMs = nowMs;
            return true;
        }
        return false;
    }
}
