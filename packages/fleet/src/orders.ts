import type { ServerReport } from "@greengage/protocol";

/** What became of an order to a backend server. */
export const OrderOutcome = {
    /** Carried out, or begun. */
    Accepted: "accepted",
    /** The server's state or the epoch doesn't allow it. */
    Refused: "refused",
    /** Another server has the address. */
    WrongServer: "wrongServer",
    /** No answer, or no connection. The order may have been accepted, and may be carried out later. */
    Unknown: "unknown",
} as const;

export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/** One list of members of a group. */
export interface GroupRef {
    groupName: string;
    epoch: number;
}

/** A group with its members in rank order. */
export interface GroupRoster extends GroupRef {
    model: string;
    memberIds: readonly string[];
}

/** State of a model engine, asked for directly. */
export type EngineProbeResult =
    | {
        kind: "answered";
        /** Above 1 when the engine is slow. */
        pace: number;
    }
    /** Another server has the address: the process has ended. */
    | { kind: "ended"; }
    /** No answer in time, or no connection. A partition may refuse connections to a process that goes on. */
    | { kind: "silent"; };

/** Sends orders to backend servers. */
export interface EngineOrders {
    join(server: ServerReport, roster: GroupRoster): Promise<OrderOutcome>;
    /** Lets the head take requests. */
    open(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    /** Stops new requests at the head; what it has is finished. */
    close(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    leave(server: ServerReport, group: GroupRef): Promise<OrderOutcome>;
    /** Loads a model onto the server's host. */
    stage(server: ServerReport, model: string): Promise<OrderOutcome>;
    probe(server: ServerReport): Promise<EngineProbeResult>;
}
