import { sleep } from "@greengage/base";
import {
    type CallHandler,
    type CallOptions,
    type Calls,
    type CallType,
    type NoticeHandler,
    type Notices,
    type NoticeType,
    type PeerAddress,
    PeerCallError,
    type Peers,
    PeerTimeoutError,
    PeerUnreachableError,
} from "@greengage/protocol";

const DEFAULT_TIMEOUT_MS = 2_000;

/** State of a daemon as its peers observe it: a frozen one times out, one that is down is unreachable. */
export const HubState = { Up: "up", Frozen: "frozen", Down: "down" } as const;

export type HubState = typeof HubState[keyof typeof HubState];

/** In-memory transport between daemons of one process, with fault injection. Messages are cloned, not shared. */
export class Hub {
    readonly #peers = new Map<string, HubPeers>();
    readonly #states = new Map<string, HubState>();
    readonly #cutPairs = new Set<string>();
    /** Number of calls by type. */
    readonly callCounts = new Map<CallType, number>();

    join(address: PeerAddress): HubPeers {
        const peers = new HubPeers(this, address.daemonId);
        this.#peers.set(address.daemonId, peers);
        this.#states.set(address.daemonId, HubState.Up);
        return peers;
    }

    setState(daemonId: string, state: HubState): void {
        this.#states.set(daemonId, state);
    }

    /** Cuts or restores the connection between two daemons, in both directions. */
    setCut(a: string, b: string, isCut: boolean): void {
        for (const pair of [`${a} ${b}`, `${b} ${a}`]) {
            this.#cutPairs[isCut ? "add" : "delete"](pair);
        }
    }

    /** Returns the peer to deliver to. Throws when it is unreachable, or after the timeout when it is frozen. */
    async reachablePeer(from: string, to: string, type: string, timeoutMs: number): Promise<HubPeers> {
        const peers = this.#peers.get(to);
        const isReachable = peers !== undefined && !this.#cutPairs.has(`${from} ${to}`);
        if (
            !isReachable || this.#states.get(to) === HubState.Down || this.#states.get(from) === HubState.Down
        ) {
            throw new PeerUnreachableError(to);
        }
        if (this.#states.get(to) === HubState.Frozen) {
            await sleep(timeoutMs);
            throw new PeerTimeoutError(to, type, timeoutMs);
        }
        return peers;
    }

    get addresses(): PeerAddress[] {
        return [...this.#peers.keys()].map((daemonId) => ({ daemonId, zone: "", host: "", port: 0 }));
    }
}

/** Connection of one daemon to a hub. */
export class HubPeers implements Peers {
    readonly daemonId: string;
    readonly #hub: Hub;
    readonly #handlers = new Map<CallType, CallHandler<CallType>>();
    readonly #noticeHandlers = new Map<NoticeType, NoticeHandler<NoticeType>>();

    constructor(hub: Hub, daemonId: string) {
        this.#hub = hub;
        this.daemonId = daemonId;
    }

    get addresses(): PeerAddress[] {
        return this.#hub.addresses.filter((address) => address.daemonId !== this.daemonId);
    }

    async call<T extends CallType>(
        daemonId: string,
        type: T,
        request: Calls[T]["request"],
        options: CallOptions = {},
    ): Promise<Calls[T]["response"]> {
        const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
        const target = await this.#hub.reachablePeer(this.daemonId, daemonId, type, timeoutMs);
        this.#hub.callCounts.set(type, (this.#hub.callCounts.get(type) ?? 0) + 1);
        return await target.receive(type, structuredClone(request), this.daemonId) as Calls[T]["response"];
    }

    notify<T extends NoticeType>(daemonId: string, type: T, notice: Notices[T]): void {
        this.#hub.reachablePeer(this.daemonId, daemonId, type, 0).then(
            (target) => target.#noticeHandlers.get(type)?.(structuredClone(notice), this.daemonId),
            () => undefined,
        );
    }

    handle<T extends CallType>(type: T, handler: CallHandler<T>): void {
        this.#handlers.set(type, handler as unknown as CallHandler<CallType>);
    }

    handleNotice<T extends NoticeType>(type: T, handler: NoticeHandler<T>): void {
        this.#noticeHandlers.set(type, handler as unknown as NoticeHandler<NoticeType>);
    }

    async receive(type: CallType, request: unknown, from: string): Promise<unknown> {
        const handler = this.#handlers.get(type);
        if (handler === undefined) {
            throw new PeerCallError(this.daemonId, type, "no handler");
        }
        return structuredClone(await handler(request as Calls[CallType]["request"], from));
    }
}
