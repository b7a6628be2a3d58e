import {
    ConnectionProbeResult,
    type Context,
    Lifecycle,
    messageOf,
    monotonicMs,
    probeConnection,
    Random,
} from "@greengage/base";
import {
    MAX_REPORTED_LOST_SERVERS,
    type RelayCandidate,
    RelayError,
    RelayRefusal,
    type RelayRequest,
} from "@greengage/protocol";
import type { Duplex } from "node:stream";

/** Time for a direct connection to open when a path is checked; it takes milliseconds within a region. */
const PROBE_TIMEOUT_MS = 250;
/** Time for a peer to open a connection to a server and to answer. */
const RELAY_TIMEOUT_MS = 400;
const TRIAL_CHECK_INTERVAL_MS = 100;
/** Mean time between two trials of a lost path. */
const TRIAL_INTERVAL_MS = 500;
/** Limits the connections that trials open at the same time. */
const MAX_CONCURRENT_TRIALS = 4;
/** With this many lost paths and no direct connection since, the paths to all servers are presumed lost. */
const PRESUMED_AFTER_LOST_PATHS = 2;
/** A peer that couldn't relay is not asked again for this long, unless there is no other. */
const PEER_AVOIDANCE_MS = 1_000;
/** Peers that are asked for one connection. */
const MAX_PEERS_PER_CONNECTION = 2;

/** Where the path to a backend server is interrupted, if it is. */
export const PathVerdict = {
    /** A direct connection opens. */
    Direct: "direct",
    /** Only the connection of a peer opens: this daemon's own path is lost. */
    Lost: "lost",
    /** Neither opens: the server itself is probably down. */
    ServerUnreachable: "serverUnreachable",
    /** The direct connection doesn't open and no peer could be asked. */
    Unknown: "unknown",
} as const;

export type PathVerdict = typeof PathVerdict[keyof typeof PathVerdict];

/** Peers that open connections to backend servers for this daemon. */
export interface Relays {
    candidates(): readonly RelayCandidate[];
    /** Opens a stream of bytes to a server through a peer. Rejects with `RelayError`; no byte has reached the server then. */
    open(daemonId: string, request: RelayRequest, timeoutMs: number): Promise<Duplex>;
}

export interface ServerPathsOptions {
    context: Context;
    relays: Relays;
    random?: Random;
    /** Default: `probeConnection`. */
    probe?: typeof probeConnection;
}

/** Connection to a backend server through a peer. */
export interface RelayedConnection {
    stream: Duplex;
    /** Peer that relays the bytes. */
    relayId: string;
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
    readonly #avoidedPeers = new Map<string, number>();
    readonly #checks = new Map<string, Promise<PathVerdict>>();
    #lastDirectAtMs = -Infinity;
    #lastLossAtMs = -Infinity;
    #activeTrialCount = 0;

    constructor(options: ServerPathsOptions) {
        this.#options = options;
        this.#random = options.random ?? new Random();
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
        }
    }

    /** Removes lost paths to addresses that are no longer in use. */
    retainAddresses(addresses: ReadonlySet<string>): void {
        [...this.#lostPaths.keys()].filter((address) => !addresses.has(address))
            .forEach((address) => this.#lostPaths.delete(address));
    }

    /**
     * Opens a connection through a peer. If the direct path has failed before (`directFailure`), success shows that only the
     * path is lost. Rejects with the `RelayError` of the last peer; no byte has reached the server then.
     */
    async openRelayed(request: RelayRequest, directFailure?: string): Promise<RelayedConnection> {
        let failure = new RelayError(RelayRefusal.PeerUnreachable, "no peer can relay the connection");
        for (const peer of this.#choosePeers(request.serverId)) {
            try {
                const stream = await this.#options.relays.open(peer.daemonId, request, RELAY_TIMEOUT_MS);
                this.#avoidedPeers.delete(peer.daemonId);
                if (directFailure !== undefined) {
                    this.#markLost(request, { relay: peer.daemonId, evidence: directFailure });
                }
                return { stream, relayId: peer.daemonId };
            }
            catch (error) {
                failure = error instanceof RelayError
                    ? error
                    : new RelayError(RelayRefusal.PeerUnreachable, messageOf(error));
                this.#record("path.relayFailed", request, { relay: peer.daemonId, reason: failure.refusal });
                if (failure.refusal !== RelayRefusal.ServerUnreachable) {
                    this.#avoidedPeers.set(peer.daemonId, monotonicMs() + PEER_AVOIDANCE_MS);
                }
            }
        }
        throw failure;
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
        const relayed = this.openRelayed(request).then(
            ({ stream }) => {
                stream.destroy();
                return undefined;
            },
            (error: unknown) => error instanceof RelayError ? error.refusal : RelayRefusal.PeerUnreachable,
        );
        if (await this.#probeDirect(request.address)) {
            return PathVerdict.Direct;
        }
        const refusal = await relayed;
        if (refusal === undefined) {
            this.#markLost(request, { evidence: "only a peer's connection opens" });
            return PathVerdict.Lost;
        }
        return refusal === RelayRefusal.ServerUnreachable
            ? PathVerdict.ServerUnreachable
            : PathVerdict.Unknown;
    }

    async #probeDirect(address: string): Promise<boolean> {
        const probe = this.#options.probe ?? probeConnection;
        const isOpen = await probe(address, PROBE_TIMEOUT_MS) === ConnectionProbeResult.Open;
        if (isOpen) {
            this.recordDirect(address);
        }
        return isOpen;
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
            this.#options.context.metrics.count("paths.lost");
        }
    }

    /** Whether most likely no server can be reached directly, as several can't and none has been since. */
    #arePresumedLost(): boolean {
        return this.#lostPaths.size >= PRESUMED_AFTER_LOST_PATHS && this.#lastDirectAtMs < this.#lastLossAtMs;
    }

    /** Peers that reach the server as far as known: those of the own zone first, then by the connections they relay. */
    #choosePeers(serverId: string): RelayCandidate[] {
        const nowMs = monotonicMs();
        const { relays, context } = this.#options;
        const rank = ({ daemonId, zone, lostServerIds }: RelayCandidate): number =>
            4 * Number((this.#avoidedPeers.get(daemonId) ?? -Infinity) > nowMs)
            + 2 * Number(lostServerIds.includes(serverId)) + Number(zone !== context.zone);
        return relays.candidates()
            .map((peer) => ({
                peer,
                rank: rank(peer),
                load: (peer.relayedCount + 1) * this.#random.nextFloat(),
            }))
            .sort((a, b) => a.rank - b.rank || a.load - b.load)
            .slice(0, MAX_PEERS_PER_CONNECTION)
            .map(({ peer }) => peer);
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

    #record(
        event: string,
        { serverId, address }: RelayRequest,
        fields: Record<string, string | number | undefined>,
    ): void {
        this.#options.context.decisions.record(event, { server: serverId, address, ...fields });
    }
}
