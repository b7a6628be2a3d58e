import { Lifecycle, monotonicMs } from "@greengage/base";
import type { Peers } from "@greengage/protocol";

const POLL_PERIOD_MS = 500;

export interface HandoverOptions {
    peers: Peers;
    zone: string;
    fence: number;
    /** Daemons that may still have an order in flight. */
    formerHolderIds: string[];
    /** The handover ends after this time, even without all confirmations. */
    timeoutMs: number;
}

/**
 * Asks former controllers whether they have stopped and have no order in flight. Until all have confirmed, or
 * `timeoutMs` has passed, VMs that don't check fencing tokens stay in the group that they report.
 */
export class Handover {
    readonly #options: HandoverOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #unconfirmed: Set<string>;
    readonly #deadlineMs: number;

    constructor(options: HandoverOptions) {
        this.#options = options;
        this.#unconfirmed = new Set(options.formerHolderIds);
        this.#deadlineMs = monotonicMs() + options.timeoutMs;
        this.#lifecycle.run(async () => {
            await this.#pollUnconfirmed();
            this.#lifecycle.every(POLL_PERIOD_MS, () => this.#pollUnconfirmed(), () => undefined);
        }, () => undefined);
    }

    get isDone(): boolean {
        return this.#unconfirmed.size === 0 || monotonicMs() >= this.#deadlineMs;
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    async #pollUnconfirmed(): Promise<void> {
        if (this.isDone) {
            return;
        }
        const { peers, zone, fence } = this.#options;
        const ids = [...this.#unconfirmed];
        await Promise.all(ids.map(async (id) => {
            const request = { zone, fence: fence - 1 };
            const response = await peers.call(id, "zone.confirmStopped", request, {
                timeoutMs: POLL_PERIOD_MS,
            })
                .catch(() => undefined);
            if (response?.stopped) {
                this.#unconfirmed.delete(id);
            }
        }));
    }
}
