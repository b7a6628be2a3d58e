/** Request to a peer to open a connection to a backend server and to relay its bytes in both directions. */
export interface RelayRequest {
    /** Id of the server, as in the fleet view of the requesting daemon. */
    serverId: string;
    /** `host:port` of the server. */
    address: string;
}

/** Why a peer doesn't relay a connection. In none of these cases has a byte reached the server. */
export const RelayRefusal = {
    /** The peer's own connection to the server didn't open either. */
    ServerUnreachable: "serverUnreachable",
    /** The server is not in the peer's fleet view under this id and address. */
    UnknownServer: "unknownServer",
    /** The server leaves or wants no requests from the peer. */
    Held: "held",
    /** The peer relays as many connections as it may. */
    Overloaded: "overloaded",
    /** The peer is about to stop. */
    Draining: "draining",
    /** The peer itself couldn't be reached, or didn't answer in time. */
    PeerUnreachable: "peerUnreachable",
} as const;

export type RelayRefusal = typeof RelayRefusal[keyof typeof RelayRefusal];

/** A peer that may relay connections, as distributed by the control daemons. */
export interface RelayCandidate {
    daemonId: string;
    zone: string;
    /** Connections that it relays for others at present. */
    relayedCount: number;
    /** Servers that it doesn't reach directly itself. */
    lostServerIds: string[];
}

/** Paths of an entry daemon to backend servers, as it reports them with its usage. */
export interface PathReport {
    zone: string;
    /** Connections that it relays for others at present. */
    relayedCount: number;
    /** Servers that it reaches through peers only, at most `MAX_REPORTED_LOST_SERVERS`. */
    lostServerIds: string[];
    /** Whether it accepts requests to relay. */
    mayRelay: boolean;
    /** Revision of the candidates that it has, as received with them; 0 before the first ones. */
    relayRevision: number;
}

/** Signals of a backend server to the VM from which its request came, which was the relay. */
export interface RelayedSignals {
    serverId: string;
    /** Start of the server's process, if known. */
    bornMs: number | undefined;
    isLeaving: boolean;
    /** Pause that the server asked for; undefined if it asked for none. */
    pauseMs: number | undefined;
}

/** Candidates of one daemon. Sent only if the daemon has another revision. */
export interface RelayList {
    revision: number;
    candidates: RelayCandidate[];
}

/** Limits the size of a report; a daemon that has lost more servers is no useful relay in any case. */
export const MAX_REPORTED_LOST_SERVERS = 16;
/** Candidates that a daemon receives; most of them in its own zone, the others in other zones. */
export const MAX_RELAY_CANDIDATES = 6;
