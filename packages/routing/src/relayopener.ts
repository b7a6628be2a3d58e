import { type Context, messageOf, monotonicMs, type Random, sleep } from "@greengage/base";
import { type RelayCandidate, RelayError, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import type { Duplex } from "node:stream";

/** A peer that couldn't relay is asked after the others for this long, and for longer with each failure in a row. */
const PEER_AVOIDANCE_MS = 1_000;
const MAX_PEER_AVOIDANCE_MS = 8_000;
/** A peer that has opened a connection within this time is asked first: others may have lost their paths, too. */
const PEER_PREFERENCE_MS = 2_000;
/** With this many lost paths, a daemon has most likely lost those to all servers. */
export const PRESUMED_AFTER_LOST_PATHS = 2;
/** Peers that are asked for one connection. */
const MAX_PEERS_PER_CONNECTION = 3;
/** The next peer is asked, too, if one has not answered by then: it may have lost the server itself. */
const NEXT_PEER_DELAY_MS = 100;

/** Peers that open connections to backend servers for this daemon. */
export interface Relays {
    candidates(): readonly RelayCandidate[];
    /** Opens a stream of bytes to a server through a peer. Rejects with `RelayError`; no byte has reached the server then. */
    open(daemonId: string, request: RelayRequest, timeoutMs: number): Promise<Duplex>;
}

/** Connection to a backend server through a peer. */
export interface RelayedConnection {
    stream: Duplex;
    /** Peer that relays the bytes. */
    relayId: string;
}

export interface RelayOpenerOptions {
    context: Context;
    relays: Relays;
    random: Random;
}

/** Refusals that concern one server only. */
const serverRefusals: readonly RelayRefusal[] = [
    RelayRefusal.ServerUnreachable,
    RelayRefusal.UnknownServer,
    RelayRefusal.Held,
];

/** Opens connections to backend servers through peers, and remembers the peers that couldn't. */
export class RelayOpener {
    readonly #options: RelayOpenerOptions;
    readonly #avoidances = new Map<string, { untilMs: number; failureCount: number; }>();
    readonly #openedAtMs = new Map<string, number>();

    constructor(options: RelayOpenerOptions) {
        this.#options = options;
    }

    /**
     * Opens a connection through the first peer that can. Rejects with a `RelayError`, `serverUnreachable` only if all
     * peers asked say so; no byte has reached the server then. Each peer has `timeoutMs` to answer.
     */
    async open(request: RelayRequest, timeoutMs: number): Promise<RelayedConnection> {
        return await this.#openThrough(this.#choosePeers(request.serverId), request, timeoutMs);
    }

    async #openThrough(
        [peer, ...others]: readonly RelayCandidate[],
        request: RelayRequest,
        timeoutMs: number,
    ): Promise<RelayedConnection> {
        if (peer === undefined) {
            throw new RelayError(RelayRefusal.PeerUnreachable, "there is no peer to relay the connection");
        }
        const asked = this.#ask(peer.daemonId, request, timeoutMs);
        if (others.length === 0) {
            return await asked;
        }
        const opened = asked.catch(() => undefined);
        // A peer that has failed lately is asked only after the failure of the one before.
        const isNextAvoided = this.#isAvoided(others[0]?.daemonId ?? "");
        const early = await (isNextAvoided
            ? opened
            : Promise.race([opened, sleep(NEXT_PEER_DELAY_MS).then(() => undefined)]));
        if (early !== undefined) {
            return early;
        }
        const connection = await firstOpened([asked, this.#openThrough(others, request, timeoutMs)]);
        if (connection.relayId !== peer.daemonId) {
            // The server can be reached, so this peer has probably lost it, or is slow.
            this.#avoid(peer.daemonId);
        }
        return connection;
    }

    async #ask(daemonId: string, request: RelayRequest, timeoutMs: number): Promise<RelayedConnection> {
        const { relays, context } = this.#options;
        try {
            const stream = await relays.open(daemonId, request, timeoutMs);
            // It may fail before it has another listener.
            stream.on("error", () => undefined);
            this.#avoidances.delete(daemonId);
            this.#openedAtMs.set(daemonId, monotonicMs());
            return { stream, relayId: daemonId };
        }
        catch (error) {
            const failure = error instanceof RelayError
                ? error
                : new RelayError(RelayRefusal.PeerUnreachable, messageOf(error), error);
            context.decisions.record("path.relayFailed", {
                server: request.serverId,
                address: request.address,
                relay: daemonId,
                reason: failure.refusal,
            });
            context.metrics.count("paths.relay_failures", 1, { reason: failure.refusal });
            if (!serverRefusals.includes(failure.refusal)) {
                this.#avoid(daemonId);
            }
            throw failure;
        }
    }

    #isAvoided(daemonId: string): boolean {
        return (this.#avoidances.get(daemonId)?.untilMs ?? -Infinity) > monotonicMs();
    }

    #avoid(daemonId: string): void {
        const nowMs = monotonicMs();
        const known = this.#avoidances.get(daemonId);
        this.#openedAtMs.delete(daemonId);
        // Requests that fail at the same time count once.
        if (known === undefined || known.untilMs <= nowMs) {
            const failureCount = (known?.failureCount ?? 0) + 1;
            const durationMs = Math.min(MAX_PEER_AVOIDANCE_MS, PEER_AVOIDANCE_MS * 2 ** (failureCount - 1));
            this.#avoidances.set(daemonId, { untilMs: nowMs + durationMs, failureCount });
        }
    }

    /** Peers that reach the server as far as known: those of the own zone first, then by the connections they relay. */
    #choosePeers(serverId: string): RelayCandidate[] {
        const nowMs = monotonicMs();
        const { relays, context, random } = this.#options;
        const candidates = relays.candidates();
        const rank = ({ daemonId, zone, lostServerIds }: RelayCandidate): number => {
            const hasLost = lostServerIds.includes(serverId)
                || lostServerIds.length >= PRESUMED_AFTER_LOST_PATHS;
            const isPreferred = nowMs - (this.#openedAtMs.get(daemonId) ?? -Infinity) < PEER_PREFERENCE_MS;
            return 8 * Number(this.#isAvoided(daemonId)) + 4 * Number(hasLost) + 2 * Number(!isPreferred)
                + Number(zone !== context.zone);
        };
        const ranked = candidates
            .map((peer) => ({
                peer,
                rank: rank(peer),
                load: (peer.relayedCount + 1) * random.nextFloat(),
            }))
            .sort((a, b) => a.rank - b.rank || a.load - b.load)
            .map(({ peer }) => peer);
        return withTwoZones(ranked).slice(0, MAX_PEERS_PER_CONNECTION);
    }
}

/** Moves the first peer of another zone to the second place, as all daemons of a zone may lose their paths together. */
const withTwoZones = ([first, ...others]: readonly RelayCandidate[]): RelayCandidate[] => {
    if (first === undefined) {
        return [];
    }
    const second = others.find(({ zone }) => zone !== first.zone);
    return second === undefined
        ? [first, ...others]
        : [first, second, ...others.filter((peer) => peer !== second)];
};

/** Resolves to the first connection that opens and closes the others. Rejects with one of the errors. */
const firstOpened = async (openings: readonly Promise<RelayedConnection>[]): Promise<RelayedConnection> => {
    try {
        const first = await Promise.any(openings);
        for (const opening of openings) {
            opening.then(
                (connection) => connection !== first && connection.stream.destroy(),
                () => undefined,
            );
        }
        return first;
    }
    catch (error) {
        throw conclude((error as AggregateError).errors as RelayError[]);
    }
};

/** That the server is unreachable is concluded only if all peers say so: one that has lost its own path says it, too. */
const conclude = (errors: readonly RelayError[]): RelayError =>
    errors.find(({ refusal }) => refusal !== RelayRefusal.ServerUnreachable) ?? errors[0]
        ?? new RelayError(RelayRefusal.PeerUnreachable, "no peer can relay the connection");
