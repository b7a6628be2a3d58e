import type { ServerReport } from "@greengage/protocol";

/** Outcome of an order to a backend server. */
export const OrderOutcome = {
    /** Carried out or started. */
    Accepted: "accepted",
    /** Not allowed by the server's state or the group's epoch. */
    Refused: "refused",
    /** A different server now has the address. */
    WrongServer: "wrongServer",
    /** No answer or no connection. The order may have been accepted and may still be carried out later. */
    Unknown: "unknown",
} as const;

export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** Identifies a group with one specific list of members. */
export interface GroupRef {
    groupName: string;
    epoch: number;
}

/** A group with its members in rank order. */
export interface GroupRoster extends GroupRef {
    model: string;
    memberIds: readonly string[];
}

/** Result of probing a model engine directly. */
export type EngineProbeResult =
    | {
        kind: "answered";
        /** Slowdown relative to normal operation; above 1 if the engine is slow. */
        pace: number;
    }
    /** A different server now has the address, so the process has ended. */
    | { kind: "ended"; }
    /** No answer in time or no connection. During a partition, connections to a live process may be refused. */
    | {
        kind: "silent";
        /** Whether no connection to the address opens either, as a live process keeps accepting them while it is silent. */
        isUnreachable?: boolean;
    };

/** Address of a backend server as `host:port`, with the id expected there. */
export type ServerEndpoint = Pick<ServerReport, "serverId" | "address">;

/** Sends orders to backend servers. */
export interface EngineOrders {
    join(server: ServerReport, roster: GroupRoster): Promise<OrderOutcome>;
    /** Makes the head accept requests. */
    open(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    /** Makes the head reject new requests and finish those in flight. */
    close(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    leave(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    /** Loads a model's weights onto the server's host. */
    stage(server: ServerReport, model: string): Promise<OrderOutcome>;
    probe(server: ServerEndpoint): Promise<EngineProbeResult>;
    /** Whether a process accepts connections at the server's address, which needs no slot of the server. */
    acceptsConnections(server: ServerEndpoint): Promise<boolean>;
}
