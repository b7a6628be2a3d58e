import type {
    PathReport,
    PeerNetwork,
    RelayCandidate,
    RelayedSignals,
    RelayList,
    RelayRequest,
    RelayStream,
} from "@greengage/protocol";
import type { Relays } from "@greengage/routing";

export interface PeerRelaysOptions {
    peers: PeerNetwork;
    /** Handles what a server wants of this daemon, which has relayed a request to it. */
    onSignals: (signals: RelayedSignals) => void;
}

/** Peers that relay connections for this daemon, as named by a control daemon. The last list stays in use without one. */
export class PeerRelays implements Relays {
    readonly #peers: PeerNetwork;
    #list: RelayList = { revision: 0, candidates: [] };

    constructor({ peers, onSignals }: PeerRelaysOptions) {
        this.#peers = peers;
        peers.handleNotice("relay.observed", onSignals);
    }

    candidates(): readonly RelayCandidate[] {
        return this.#list.candidates;
    }

    open(daemonId: string, request: RelayRequest, timeoutMs: number): Promise<RelayStream> {
        return this.#peers.openRelay(daemonId, request, timeoutMs);
    }

    /** Tells a relay what a server wants of it, which its answer has shown to this daemon only. */
    sendSignals(relayId: string, signals: RelayedSignals): void {
        this.#peers.notify(relayId, "relay.observed", signals);
    }

    apply(list: RelayList): void {
        this.#list = list;
    }

    /** Completes a report of this daemon's paths. */
    report(paths: Omit<PathReport, "relayRevision">): PathReport {
        return { ...paths, relayRevision: this.#list.revision };
    }
}
