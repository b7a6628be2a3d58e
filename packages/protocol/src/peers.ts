import type { Calls, CallType, Notices, NoticeType } from "./messages.ts";

export interface PeerAddress {
    daemonId: string;
    zone: string;
    host: string;
    port: number;
}

/** Handles one type of call. `from` is the id of the calling daemon. */
export type CallHandler<T extends CallType> = (
    request: Calls[T]["request"],
    from: string,
) => Calls[T]["response"] | Promise<Calls[T]["response"]>;

export type NoticeHandler<T extends NoticeType> = (notice: Notices[T], from: string) => void;

/** The other daemons, as the parts of a daemon see them. */
export interface Peers {
    readonly daemonId: string;
    /** All daemons of the settings, without this one. */
    readonly addresses: readonly PeerAddress[];

    /**
     * Calls another daemon, or this one (then without a connection).
     * Throws PeerUnreachableError, PeerTimeoutError or PeerCallError.
     */
    call<T extends CallType>(
        daemonId: string,
        type: T,
        request: Calls[T]["request"],
        options?: CallOptions,
    ): Promise<Calls[T]["response"]>;

    /** Sends a one-way message, if the peer can be reached. */
    notify<T extends NoticeType>(daemonId: string, type: T, notice: Notices[T]): void;

    /** Registers the handler of a type. A type has one handler. */
    handle<T extends CallType>(type: T, handler: CallHandler<T>): void;
    handleNotice<T extends NoticeType>(type: T, handler: NoticeHandler<T>): void;
}

export interface CallOptions {
    /** Default: 2000. */
    timeoutMs?: number;
}
