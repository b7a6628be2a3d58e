import { type Context, Lifecycle, LogPart, messageOf, monotonicMs, sleep } from "@greengage/base";
import type {
    FleetView,
    GroupRecords,
    PackedConfiguration,
    Peers,
    WatchRequest,
    WatchResponse,
} from "@greengage/protocol";
import { validRecords, validView } from "./entries.ts";
import { isNewerView } from "./view.ts";

/**
 * Wait of one call without changes. Changes are answered immediately, so this only bounds the detection of a lost call.
 */
const WATCH_WAIT_MS = 700;
const WATCH_TIMEOUT_MS = 1_300;
const RETRY_DELAY_MS = 100;
/** A control daemon without contact to the leader for this long may be outdated, so another one is watched. */
const STALE_LEADER_CONTACT_MS = 1_200;

export interface FleetWatcherOptions {
    context: Context;
    peers: Peers;
    /** Ids of the daemons that can be watched, in order of preference. */
    targets: () => readonly string[];
    request: () => Pick<WatchRequest, "configurationVersion" | "isEntry" | "entryIds" | "demand">;
    onConfiguration: (configuration: PackedConfiguration) => void;
    onView: (view: FleetView) => void;
    /** Receives the leader's group records, on daemons that may succeed it. */
    onRecords?: (records: GroupRecords) => void;
}

/** Watches one control daemon for changes to the fleet and configuration, and switches to another one if it lags. */
export class FleetWatcher {
    readonly #options: FleetWatcherOptions;
    readonly #lifecycle = new Lifecycle();
    #view: FleetView | undefined;
    #target: string | undefined;
    #leaderId: string | undefined;
    /** Error message of the last failed call. */
    #lastFailure = "";
    #recordsVersion = 0;
    #answeredAtMs = -Infinity;
    #failedAtMs = new Map<string, number>();

    constructor(options: FleetWatcherOptions) {
        this.#options = options;
    }

    /** Leader according to the last answer. */
    get leaderId(): string | undefined {
        return this.#leaderId;
    }

    /** Watched daemon; undefined while none answers. */
    get target(): string | undefined {
        return this.#target;
    }

    /** Time since the last answer of a daemon that follows the leader. */
    get contactAgeMs(): number {
        return monotonicMs() - this.#answeredAtMs;
    }

    start(): void {
        this.#lifecycle.run((signal) => this.#run(signal), (error) => {
            this.#options.context.logs(LogPart.Groups).error("the fleet watch loop failed", {
                reason: messageOf(error),
            });
        });
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const target = this.#selectTarget();
            if (target === undefined) {
                await sleep(RETRY_DELAY_MS, signal);
                continue;
            }
            const response = await this.#watch(target);
            if (signal.aborted) {
                return;
            }
            if (response === undefined || isStale(response)) {
                this.#dropTarget(
                    target,
                    response === undefined ? this.#lastFailure : "it has lost contact with the leader",
                );
                await sleep(RETRY_DELAY_MS, signal);
                continue;
            }
            this.#answeredAtMs = monotonicMs();
            this.#setTarget(target);
        }
    }

    /** Returns the current target or, after a failure, the one whose last failure is longest ago. */
    #selectTarget(): string | undefined {
        const targets = this.#options.targets();
        if (this.#target !== undefined && targets.includes(this.#target)) {
            return this.#target;
        }
        const failedAt = (id: string): number => this.#failedAtMs.get(id) ?? -Infinity;
        return [...targets].sort((a, b) => failedAt(a) - failedAt(b))[0];
    }

    async #watch(target: string): Promise<WatchResponse | undefined> {
        const { peers, request } = this.#options;
        const response = await peers.call(target, "fleet.watch", {
            ...request(),
            zone: this.#options.context.zone,
            viewTerm: this.#view?.term ?? 0,
            viewVersion: this.#view?.version ?? 0,
            recordsVersion: this.#recordsVersion,
            waitMs: WATCH_WAIT_MS,
        }, { timeoutMs: WATCH_TIMEOUT_MS }).catch((error: unknown) => {
            this.#lastFailure = messageOf(error);
            return undefined;
        });
        if (response === undefined) {
            return undefined;
        }
        try {
            this.#apply(target, response);
        }
        catch (error) {
            this.#lastFailure = messageOf(error);
            this.#options.context.decisions.record("watch.notApplied", { target, reason: this.#lastFailure });
            return undefined;
        }
        return response;
    }

    /** Throws if a part of the response can't be used at all. */
    #apply(target: string, response: WatchResponse): void {
        const { context, onConfiguration, onView, onRecords } = this.#options;
        const origin = { context, source: target };
        this.#leaderId = response.leaderId ?? this.#leaderId;
        if (response.configuration !== undefined) {
            onConfiguration(response.configuration);
        }
        if (response.view !== undefined && isNewerView(response.view, this.#view)) {
            const view = validView(origin, response.view);
            this.#view = view;
            onView(view);
        }
        if (response.records !== undefined) {
            const records = validRecords(origin, response.records);
            this.#recordsVersion = records.version;
            onRecords?.(records);
        }
    }

    #setTarget(target: string): void {
        if (this.#target !== target) {
            this.#options.context.decisions.record("control.connected", { target });
        }
        this.#target = target;
    }

    #dropTarget(target: string, reason: string): void {
        if (this.#target === target) {
            this.#options.context.decisions.record("control.lost", { target, reason });
        }
        this.#target = undefined;
        // Another leader may number its records differently.
        this.#recordsVersion = 0;
        this.#failedAtMs.set(target, monotonicMs());
    }
}

const isStale = ({ leaderContactAgeMs }: WatchResponse): boolean =>
    leaderContactAgeMs === undefined || leaderContactAgeMs > STALE_LEADER_CONTACT_MS;
