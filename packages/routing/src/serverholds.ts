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

/** A server to which this daemon sends no requests for a time, as shown to operators. */
export interface ServerHold extends ServerIncarnation {
    /** Time since the first of the consecutive answers that asked for a pause. */
    sinceAgeMs: number;
    /** Time until requests may be sent again. */
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

interface HoldState {
    server: ServerIncarnation;
    sinceMs: number;
    untilMs: number;
}

/**
 * Servers to which this daemon may not send requests, because they have asked it for a pause. Own answers are enough, so that a
 * pause is heeded without any contact to other daemons. Times are monotonic.
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
        const known = this.#states.get(keyOf(server));
        const isPaused = known !== undefined && known.untilMs > receivedAtMs;
        const untilMs = Math.max(receivedAtMs + pauseMs, known?.untilMs ?? -Infinity);
        this.#set({ server, sinceMs: isPaused ? known.sinceMs : receivedAtMs, untilMs }, receivedAtMs);
        this.#context.decisions.record("server.pause", {
            server: server.serverId,
            incarnation: server.incarnation,
            pauseMs,
            isExtension: isPaused,
            untilMs: Math.round(untilMs),
        });
        this.#context.metrics.count("routing.pauses");
    }

    /** Time until a request may be sent to the server, 0 if it may be sent now. */
    waitMs(server: ServerIncarnation, nowMs: number): number {
        return Math.max(0, (this.#states.get(keyOf(server))?.untilMs ?? -Infinity) - nowMs);
    }

    isHeld(server: ServerIncarnation, nowMs: number): boolean {
        return this.waitMs(server, nowMs) > 0;
    }

    /** The first end of the pauses of these servers; undefined if none of them pauses. */
    earliestReturn(servers: readonly ServerIncarnation[], nowMs: number): EarliestReturn | undefined {
        const [first] = servers.flatMap((server) => this.#states.get(keyOf(server)) ?? [])
            .filter(({ untilMs }) => untilMs > nowMs)
            .sort((a, b) => a.untilMs - b.untilMs);
        return first === undefined
            ? undefined
            : { waitMs: first.untilMs - nowMs, pauseMs: first.untilMs - first.sinceMs };
    }

    list(nowMs: number): ServerHold[] {
        this.#dropEnded(nowMs);
        return [...this.#states.values()].map(({ server, sinceMs, untilMs }) => ({
            ...server,
            sinceAgeMs: nowMs - sinceMs,
            waitMs: untilMs - nowMs,
        }));
    }

    #set(state: HoldState, nowMs: number): void {
        const key = keyOf(state.server);
        if (!this.#states.has(key)) {
            this.#dropEnded(nowMs);
        }
        // The map is in the order of the latest answers.
        this.#states.delete(key);
        this.#states.set(key, state);
        const [oldest] = this.#states.keys();
        if (oldest !== undefined && this.#states.size > MAX_HOLDS) {
            this.#states.delete(oldest);
        }
        this.#context.metrics.gauge("routing.held_servers", this.#states.size);
    }

    #dropEnded(nowMs: number): void {
        for (const [key, { untilMs }] of this.#states) {
            if (untilMs <= nowMs) {
                this.#states.delete(key);
            }
        }
        this.#context.metrics.gauge("routing.held_servers", this.#states.size);
    }
}

const keyOf = ({ serverId, incarnation }: ServerIncarnation): string => `${serverId}\n${incarnation ?? ""}`;
