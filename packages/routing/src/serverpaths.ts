import {
    ConnectionProbeResult,
    type Context,
    Lifecycle,
    messageOf,
    monotonicMs,
    probeConnection,
    Random,
    sleep,
} from "@greengage/base";
import { MAX_REPORTED_LOST_SERVERS, RelayError, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import type { Duplex } from "node:stream";
import {
    PRESUMED_AFTER_LOST_PATHS,
    type RelayedConnection,
    RelayOpener,
    type Relays,
} from "./relayopener.ts";

/** Time for a direct connection to open when a path is checked; it takes milliseconds within a region. */
const PROBE_TIMEOUT_MS = 250;
/** Time for a peer to open a connection to a server and to answer; the next peer doesn't wait for it. */
const RELAY_TIMEOUT_MS = 700;
/** Shorter time if the connection only serves a check. */
const CHECK_RELAY_TIMEOUT_MS = 400;
/** A check asks peers only if the direct connection has not opened by then, which a working one has. */
const CHECK_RELAY_DELAY_MS = 75;
/** A relayed connection that stays open this long was not closed at once by a server that is full. */
const SETTLE_MS = 50;
const TRIAL_CHECK_INTERVAL_MS = 100;
/** Mean time between two trials of a lost path. */
const TRIAL_INTERVAL_MS = 500;
/** Limits the connections that trials open at the same time. */
const MAX_CONCURRENT_TRIALS = 4;
/** A server that no peer has reached is not looked for through peers again for this long. */
const UNREACHABLE_TTL_MS = 250;

/** Where the path to a backend server is interrupted, if it is. */
export const PathVerdict = {
    /** A direct connection is accepted. */
    Direct: "direct",
    /** Only a peer's connection opens, and direct ones fail before and after it: this daemon's own path is lost. */
    Lost: "lost",
    /** The direct connection is refused and no peer's opens: no process serves the address any more. */
    ServerEnded: "serverEnded",
    /** Neither opens: the server itself is probably down. */
    ServerUnreachable: "serverUnreachable",
    /** The direct connection doesn't open and no peer could be asked. */
    Unknown: "unknown",
} as const;

export type PathVerdict = typeof PathVerdict[keyof typeof PathVerdict];

export interface ServerPathsOptions {
    context: Context;
    relays: Relays;
    random?: Random;
    /** Default: `probeConnection`. */
    probe?: typeof probeConnection;
    /** Called when the direct path to an address is found to be lost. */
    onLost?: (address: string) => void;
}

/** A path that is interrupted while a peer reaches the server. */
export interface LostPath {
    serverId: string;
    address: string;
    sinceMs: number;
}

interface LostPathState extends LostPath {
    nextTrialAtMs: number;
    isTried: boolean;
}

/** Paths from this daemon to backend servers: direct ones, and those through peers where the direct ones are lost. */
export class ServerPaths {
    readonly #options: ServerPathsOptions;
    readonly #random: Random;
    readonly #lifecycle = new Lifecycle();
    readonly #lostPaths = new Map<string, LostPathState>();
    readonly #opener: RelayOpener;
    readonly #unreachableUntilMs = new Map<string, number>();
    readonly #checks = new Map<string, Promise<PathVerdict>>();
    #lastDirectAtMs = -Infinity;
    #lastLossAtMs = -Infinity;
    #activeTrialCount = 0;

    constructor(options: ServerPathsOptions) {
        this.#options = options;
        this.#random = options.random ?? new Random();
        this.#opener = new RelayOpener({ ...options, random: this.#random });
    }

    start(): void {
        this.#lifecycle.every(TRIAL_CHECK_INTERVAL_MS, () => this.#startTrials(), (error) => {
            this.#options.context.decisions.record("path.trialFailed", { reason: messageOf(error) });
        });
    }

    close(): Promise<void> {
        return this.#lifecycle.close();
    }

    /** Whether a connection to the server should go through a peer without trying the direct path first. */
    prefersRelay(address: string): boolean {
        return this.#options.relays.candidates().length > 0
            && (this.#lostPaths.has(address) || this.#arePresumedLost());
    }

    /** Whether the direct path is known to be lost. */
    isLost(address: string): boolean {
        return this.#lostPaths.has(address);
    }

    lostPaths(): LostPath[] {
        return [...this.#lostPaths.values()].map(({ serverId, address, sinceMs }) => ({
            serverId,
            address,
            sinceMs,
        }));
    }

    /** Ids of servers whose paths are lost, for the report to other daemons. */
    reportedLostServerIds(): string[] {
        return this.lostPaths().slice(0, MAX_REPORTED_LOST_SERVERS).map(({ serverId }) => serverId);
    }

    /** Records that a direct connection has opened. */
    recordDirect(address: string): void {
        this.#lastDirectAtMs = monotonicMs();
        const path = this.#lostPaths.get(address);
        if (path !== undefined) {
            this.#lostPaths.delete(address);
            this.#record("path.regained", path, { lostForMs: Math.round(monotonicMs() - path.sinceMs) });
            this.#reportLostCount();
        }
    }

    /** Removes lost paths to addresses that are no longer in use. */
    retainAddresses(addresses: ReadonlySet<string>): void {
        for (const map of [this.#lostPaths, this.#unreachableUntilMs]) {
            [...map.keys()].filter((address) => !addresses.has(address))
                .forEach((address) => map.delete(address));
        }
        this.#reportLostCount();
    }

    /**
     * Opens a connection through a peer. If the direct path has failed before (`directFailure`), a connection that stays open
     * shows that only the path is lost. Rejects with a `RelayError`; no byte has reached the server then.
     */
    openRelayed(request: RelayRequest, directFailure?: string): Promise<RelayedConnection> {
        return this.#openRelayed(request, RELAY_TIMEOUT_MS, directFailure);
    }

    async #openRelayed(
        request: RelayRequest,
        timeoutMs: number,
        directFailure?: string,
    ): Promise<RelayedConnection> {
        if (monotonicMs() < (this.#unreachableUntilMs.get(request.address) ?? -Infinity)) {
            throw new RelayError(RelayRefusal.ServerUnreachable, "no peer has reached the server recently");
        }
        try {
            const connection = await this.#opener.open(request, timeoutMs);
            if (directFailure !== undefined) {
                void isSettled(connection.stream).then((isOpen) =>
                    isOpen && this.recordRelayed(request, connection.relayId, directFailure)
                );
            }
            return connection;
        }
        catch (error) {
            if (error instanceof RelayError && error.refusal === RelayRefusal.ServerUnreachable) {
                this.#unreachableUntilMs.set(request.address, monotonicMs() + UNREACHABLE_TTL_MS);
            }
            throw error;
        }
    }

    /** Records that a server was reached through a peer after its direct connection had failed. */
    recordRelayed(request: RelayRequest, relayId: string, directFailure: string): void {
        if (!this.isLost(request.address)) {
            void this.#confirmLoss(request, { relay: relayId, evidence: directFailure });
        }
    }

    /** Finds out whether this daemon, or only a peer, can open a connection to the server. Concurrent checks are shared. */
    verify(request: RelayRequest): Promise<PathVerdict> {
        const running = this.#checks.get(request.address);
        if (running !== undefined) {
            return running;
        }
        const check = this.#verify(request).finally(() => this.#checks.delete(request.address));
        this.#checks.set(request.address, check);
        return check;
    }

    async #verify(request: RelayRequest): Promise<PathVerdict> {
        if (this.isLost(request.address)) {
            return PathVerdict.Lost;
        }
        if (this.#options.relays.candidates().length === 0) {
            return PathVerdict.Unknown;
        }
        const direct = this.#probeDirect(request.address);
        const early = await Promise.race([direct, sleep(CHECK_RELAY_DELAY_MS)]);
        if (isAccepted(early)) {
            return PathVerdict.Direct;
        }
        const relayed = this.#probeRelayed(request);
        const confirmed = relayed.then((refusal) =>
            refusal === undefined
            && this.#confirmLoss(request, { evidence: "only a peer's connection opens" })
        );
        const result = await direct;
        if (isAccepted(result)) {
            return PathVerdict.Direct;
        }
        const refusal = await relayed;
        if (refusal === undefined) {
            return await confirmed ? PathVerdict.Lost : PathVerdict.Direct;
        }
        if (refusal !== RelayRefusal.ServerUnreachable) {
            return PathVerdict.Unknown;
        }
        return result === ConnectionProbeResult.Refused
            ? PathVerdict.ServerEnded
            : PathVerdict.ServerUnreachable;
    }

    /** Resolves to undefined if a connection through a peer opens and stays open, or to the reason why not. */
    async #probeRelayed(request: RelayRequest): Promise<RelayRefusal | undefined> {
        try {
            const { stream } = await this.#openRelayed(request, CHECK_RELAY_TIMEOUT_MS);
            const isOpen = await isSettled(stream);
            stream.destroy();
            return isOpen ? undefined : RelayRefusal.ServerUnreachable;
        }
        catch (error) {
            return error instanceof RelayError ? error.refusal : RelayRefusal.PeerUnreachable;
        }
    }

    async #probeDirect(address: string): Promise<ConnectionProbeResult> {
        const probe = this.#options.probe ?? probeConnection;
        const result = await probe(address, PROBE_TIMEOUT_MS);
        if (isAccepted(result)) {
            this.recordDirect(address);
        }
        return result;
    }

    /**
     * Marks a path as lost unless a direct connection opens now: the server may have started again since the first one failed.
     * Returns whether the path is lost.
     */
    async #confirmLoss(
        request: RelayRequest,
        evidence: { relay?: string; evidence: string; },
    ): Promise<boolean> {
        if (isAccepted(await this.#probeDirect(request.address))) {
            return false;
        }
        this.#markLost(request, evidence);
        return true;
    }

    #markLost({ serverId, address }: RelayRequest, evidence: { relay?: string; evidence: string; }): void {
        const nowMs = monotonicMs();
        this.#lastLossAtMs = nowMs;
        if (!this.#lostPaths.has(address)) {
            const path = {
                serverId,
                address,
                sinceMs: nowMs,
                nextTrialAtMs: this.#nextTrialAtMs(nowMs),
                isTried: false,
            };
            this.#lostPaths.set(address, path);
            this.#record("path.lost", path, evidence);
            this.#options.context.metrics.count("paths.losses");
            this.#reportLostCount();
            this.#options.onLost?.(address);
        }
    }

    /** Whether most likely no server can be reached directly, as several can't and none has been since. */
    #arePresumedLost(): boolean {
        return this.#lostPaths.size >= PRESUMED_AFTER_LOST_PATHS && this.#lastDirectAtMs < this.#lastLossAtMs;
    }

    /** Tries lost paths again, a few at a time, so that they come back one by one. */
    #startTrials(): void {
        const nowMs = monotonicMs();
        for (const path of this.#lostPaths.values()) {
            if (this.#activeTrialCount >= MAX_CONCURRENT_TRIALS) {
                return;
            }
            if (!path.isTried && nowMs >= path.nextTrialAtMs) {
                void this.#runTrial(path);
            }
        }
    }

    async #runTrial(path: LostPathState): Promise<void> {
        path.isTried = true;
        this.#activeTrialCount += 1;
        try {
            await this.#probeDirect(path.address);
        }
        finally {
            this.#activeTrialCount -= 1;
            path.isTried = false;
            path.nextTrialAtMs = this.#nextTrialAtMs(monotonicMs());
        }
    }

    #nextTrialAtMs(nowMs: number): number {
        return nowMs + TRIAL_INTERVAL_MS * (0.5 + this.#random.nextFloat());
    }

    #reportLostCount(): void {
        this.#options.context.metrics.gauge("paths.lost", this.#lostPaths.size);
    }

    #record(
        event: string,
        { serverId, address }: RelayRequest,
        fields: Record<string, string | number | undefined>,
    ): void {
        this.#options.context.decisions.record(event, { server: serverId, address, ...fields });
    }
}

/** Resolves to whether a stream is still sound after a short time. */
const isSettled = async (stream: Duplex): Promise<boolean> => {
    await sleep(SETTLE_MS);
    return stream.errored === null && !stream.destroyed && !stream.readableEnded;
};

/** Whether the network path exists: a connection was accepted, even if the server then closed it. */
const isAccepted = (result: ConnectionProbeResult | void): boolean =>
    result === ConnectionProbeResult.Open || result === ConnectionProbeResult.Closed;
