import type { Calls, CallType, Notices, NoticeType } from "./messages.ts";

export interface PeerAddress {
    daemonId: string;
    zone: string;
    host: string;
    port: number;
}

/** Handles calls of one type. `from` is the id of the calling daemon. */
export type CallHandler<T extends CallType> = (
    request: Calls[T]["request"],
    from: string,
) => Calls[T]["response"] | Promise<Calls[T]["response"]>;

export type NoticeHandler<T extends NoticeType> = (notice: Notices[T], from: string) => void;

/** Messaging with the other daemons, as used by the components of a daemon. */
export interface Peers {
    readonly daemonId: string;
    /** All daemons listed in the settings except this one. */
    readonly addresses: readonly PeerAddress[];

    /**
     * Calls a daemon and returns its response. A call to this daemon itself uses no connection.
     * Throws PeerUnreachableError, PeerTimeoutError or PeerCallError.
     */
    call<T extends CallType>(
        daemonId: string,
        type: T,
        request: Calls[T]["request"],
        options?: CallOptions,
    ): Promise<Calls[T]["response"]>;

    /** Sends a one-way message. It is dropped if the peer can't be reached. */
    notify<T extends NoticeType>(daemonId: string, type: T, notice: Notices[T]): void;

    /** Registers the handler of a type of call, in place of an earlier one. */
    handle<T extends CallType>(type: T, handler: CallHandler<T>): void;
    /** Registers the handler of a type of one-way message, in place of an earlier one. */
    handleNotice<T extends NoticeType>(type: T, handler: NoticeHandler<T>): void;
}

export interface CallOptions {
    /** Default: 2000. */
    timeoutMs?: number;
}
