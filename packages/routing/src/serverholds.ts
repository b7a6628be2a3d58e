import type { Context } from "@greengage/base";

/** One process of a backend server. A server that starts again under its id is another incarnation. */
export interface ServerIncarnation {
    serverId: string;
    /** Start of the process, or an id of it; undefined if it isn't known. */
    incarnation: string | number | undefined;
}

/** A pause that a rejection asks for. `pauseMs` is undefined if `unreadable` holds a value that can't be decoded. */
export interface PauseRequest {
    pauseMs?: number;
    unreadable?: string;
}

/** Seconds, with or without a fraction. Dates count as unreadable, because the clocks of servers and daemons differ. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Longer pauses are cut, so that a faulty value doesn't take a server out of use for good. */
export const MAX_PAUSE_MS = 600_000;
const MAX_LOGGED_CHARACTERS = 40;

/** Decodes Retry-After. Of several values the longest holds; zero asks for no pause. */
export const parsePause = (field: string | string[]): PauseRequest | undefined => {
    const texts = [field].flat().flatMap((text) => text.split(",")).map((text) => text.trim());
    const seconds = texts.filter((text) => DECIMAL.test(text)).map(Number);
    if (seconds.length === 0) {
        return { unreadable: texts.join(",").slice(0, MAX_LOGGED_CHARACTERS) };
    }
    const pauseMs = Math.min(MAX_PAUSE_MS, Math.ceil(Math.max(...seconds) * 1_000));
    return pauseMs === 0 ? undefined : { pauseMs };
};

/** A server to which this daemon sends no requests, as shown to operators. */
export interface ServerHold extends ServerIncarnation {
    /** Whether the server has said that it leaves. */
    isLeaving: boolean;
    /** Time since the first answer that said so, or the first of the consecutive answers that asked for a pause. */
    sinceAgeMs: number;
    /** Time until requests may be sent again, `Infinity` if never. */
    waitMs: number;
}

/** The first end of the pauses of several servers. */
export interface EarliestReturn {
    waitMs: number;
    /** Length of the pause from its beginning, during which callers are turned away. */
    pauseMs: number;
}

/** Holds beyond this number displace the oldest ones. */
const MAX_HOLDS = 10_000;
/** Time after the first answer of a leaving server in which it gets requests that no other server can take. */
export const LEAVING_GRACE_MS = 1_000;

interface HoldState {
    server: ServerIncarnation;
    pause: { sinceMs: number; untilMs: number; };
    leavingSinceMs: number;
}

const NO_PAUSE = { sinceMs: -Infinity, untilMs: -Infinity };

/**
 * Servers to which this daemon may not send requests, because they have asked it for a pause or said that they leave. Own answers
 * are enough, so that both are heeded without any contact to other daemons. Times are monotonic.
 */
export class ServerHolds {
    readonly #context: Context;
    readonly #states = new Map<string, HoldState>();

    constructor(context: Context) {
        this.#context = context;
    }

    /** Records that a server has asked for a pause. An earlier pause that ends later stays in force. */
    observePause(
        server: ServerIncarnation,
        { pauseMs, unreadable }: PauseRequest,
        receivedAtMs: number,
    ): void {
        if (pauseMs === undefined) {
            const { serverId } = server;
            this.#context.decisions.record("server.pauseUnreadable", { server: serverId, value: unreadable });
            return;
        }
        const state = this.#stateOf(server, receivedAtMs);
        const isExtension = state.pause.untilMs > receivedAtMs;
        const untilMs = Math.max(receivedAtMs + pauseMs, state.pause.untilMs);
        this.#set({
            ...state,
            pause: { sinceMs: isExtension ? state.pause.sinceMs : receivedAtMs, untilMs },
        });
        this.#context.decisions.record("server.pause", {
            server: server.serverId,
            incarnation: server.incarnation,
            pauseMs,
            isExtension,
            waitMs: Math.round(untilMs - receivedAtMs),
        });
        this.#context.metrics.count("routing.pauses");
    }

    /** Records that a server has said that it leaves, which holds until its process ends. */
    observeLeaving(server: ServerIncarnation, receivedAtMs: number): void {
        const state = this.#stateOf(server, receivedAtMs);
        if (state.leavingSinceMs !== Infinity) {
            return;
        }
        this.#set({ ...state, leavingSinceMs: receivedAtMs });
        this.#context.decisions.record("server.leaving", {
            server: server.serverId,
            incarnation: server.incarnation,
        });
        this.#context.metrics.count("routing.leaving");
    }

    /** Time until a request may be sent to the server: 0 if it may be sent now, `Infinity` if never again. */
    waitMs(server: ServerIncarnation, nowMs: number): number {
        const state = this.#states.get(keyOf(server));
        return state === undefined ? 0 : waitOf(state, nowMs);
    }

    isHeld(server: ServerIncarnation, nowMs: number): boolean {
        return this.waitMs(server, nowMs) > 0;
    }

    /** Whether the server has said that it leaves. Others are preferred, also before it is held. */
    isLeaving(server: ServerIncarnation): boolean {
        return (this.#states.get(keyOf(server))?.leavingSinceMs ?? Infinity) !== Infinity;
    }

    /** The first end of the pauses of these servers; undefined if none of them pauses. */
    earliestReturn(servers: readonly ServerIncarnation[], nowMs: number): EarliestReturn | undefined {
        const [first] = servers.flatMap((server) => this.#states.get(keyOf(server)) ?? [])
            .filter((state) => waitOf(state, nowMs) > 0 && waitOf(state, nowMs) !== Infinity)
            .sort((a, b) => a.pause.untilMs - b.pause.untilMs);
        if (first === undefined) {
            return undefined;
        }
        const { sinceMs, untilMs } = first.pause;
        return { waitMs: untilMs - nowMs, pauseMs: untilMs - sinceMs };
    }

    list(nowMs: number): ServerHold[] {
        this.#dropEnded(nowMs);
        return [...this.#states.values()].map((state) => ({
            ...state.server,
            isLeaving: state.leavingSinceMs !== Infinity,
            sinceAgeMs: nowMs
                - (state.leavingSinceMs === Infinity ? state.pause.sinceMs : state.leavingSinceMs),
            waitMs: waitOf(state, nowMs),
        }));
    }

    #stateOf(server: ServerIncarnation, nowMs: number): HoldState {
        const known = this.#states.get(keyOf(server));
        if (known === undefined) {
            this.#dropEnded(nowMs);
        }
        return known ?? { server, pause: NO_PAUSE, leavingSinceMs: Infinity };
    }

    /** Sets a state as the latest in the map's order. */
    #set(state: HoldState): void {
        const key = keyOf(state.server);
        this.#states.delete(key);
        this.#states.set(key, state);
        const [oldest] = this.#states.keys();
        if (oldest !== undefined && this.#states.size > MAX_HOLDS) {
            this.#states.delete(oldest);
        }
    }

    #dropEnded(nowMs: number): void {
        for (const [key, { pause, leavingSinceMs }] of this.#states) {
            if (pause.untilMs <= nowMs && leavingSinceMs === Infinity) {
                this.#states.delete(key);
            }
        }
    }
}

const waitOf = ({ pause, leavingSinceMs }: HoldState, nowMs: number): number => {
    const sendableAtMs = Math.max(nowMs, pause.untilMs);
    return sendableAtMs >= leavingSinceMs + LEAVING_GRACE_MS ? Infinity : sendableAtMs - nowMs;
};

const keyOf = ({ serverId, incarnation }: ServerIncarnation): string => `${serverId}\n${incarnation ?? ""}`;
