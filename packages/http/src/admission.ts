import { ErrorCode, GreengageError, monotonicMs, Verdict } from "@greengage/base";
import type { Socket } from "node:net";
import { notRunError } from "./errors.ts";
import type { HttpLimits } from "./limits.ts";

const RETRY_AFTER_MS = 1_000;

/** Organisation and row under which a request in flight is counted. */
interface RequestSubject {
    organisation: string;
    /** Key of the table row: `model/NAME` or `service/NAME`. */
    row: string;
}

/** Requests in flight by row of the table. */
export type InFlightCounts = Record<string, number>;

/** Admits caller requests within the limits and counts requests in flight. */
export class Admission {
    readonly #limits: HttpLimits;
    readonly #checkServing: () => void;
    readonly #countsByRow = new Map<string, number>();
    readonly #countsByConnection = new WeakMap<Socket, number>();
    #idleWaiters: (() => void)[] = [];
    #inFlight = 0;
    #isClosed = false;

    /** Whether responses close their connection, so that clients reconnect to other daemons. */
    closesConnections = false;

    /** Time at which a shutdown interrupts the requests in flight. */
    interruptsAtMs = Infinity;

    /** `checkServing` throws while the daemon must not serve callers. */
    constructor(limits: HttpLimits, checkServing: () => void = () => undefined) {
        this.#limits = limits;
        this.#checkServing = checkServing;
    }

    /** Number of caller requests in flight. */
    get inFlight(): number {
        return this.#inFlight;
    }

    inFlightByRow(): InFlightCounts {
        return Object.fromEntries(this.#countsByRow);
    }

    /** Rejects new requests, because the daemon is draining. */
    close(): void {
        this.#isClosed = true;
    }

    /** Admits new requests again. */
    open(): void {
        this.#isClosed = false;
    }

    /** Rejects a new request that may take until after its interruption, so that its caller turns to another daemon. */
    assertEndsInTime(deadlineMs: number): void {
        if (monotonicMs() + deadlineMs > this.interruptsAtMs) {
            const message = "this daemon is shutting down, maybe before the deadline of the request";
            throw retryableError(ErrorCode.Draining, message);
        }
    }

    /** Runs one request. Throws before the work starts when a limit is reached. */
    async run(socket: Socket, work: () => Promise<void>): Promise<void> {
        this.#checkServing();
        this.#checkLimits(socket);
        this.#inFlight += 1;
        this.#countsByConnection.set(socket, (this.#countsByConnection.get(socket) ?? 0) + 1);
        try {
            await work();
        }
        finally {
            this.#inFlight -= 1;
            this.#countsByConnection.set(socket, (this.#countsByConnection.get(socket) ?? 1) - 1);
            this.#notifyIfIdle();
        }
    }

    /** Runs work and counts it as in flight for its organisation and its row of the table. */
    async trackInFlight<T>(subject: RequestSubject, work: () => Promise<T>): Promise<T> {
        const keys = [`organisation/${subject.organisation}`, subject.row];
        for (const key of keys) {
            this.#adjustCount(key, 1);
        }
        try {
            return await work();
        }
        finally {
            for (const key of keys) {
                this.#adjustCount(key, -1);
            }
        }
    }

    /** Resolves when no caller request is in flight. */
    waitUntilIdle(): Promise<void> {
        if (this.#inFlight === 0) {
            return Promise.resolve();
        }
        return new Promise((resolve) => this.#idleWaiters.push(resolve));
    }

    #checkLimits(socket: Socket): void {
        if (this.#isClosed) {
            throw retryableError(ErrorCode.Draining, "this daemon is draining and accepts no new requests");
        }
        if (this.#inFlight >= this.#limits.concurrentRequests) {
            throw retryableError(
                ErrorCode.NoCapacity,
                `this daemon is at its limit of ${this.#limits.concurrentRequests} concurrent requests`,
            );
        }
        const limit = this.#limits.concurrentPerConnection;
        if ((this.#countsByConnection.get(socket) ?? 0) >= limit) {
            throw notRunError(
                ErrorCode.LimitReached,
                `more than ${limit} requests at once on one connection`,
            );
        }
    }

    #adjustCount(key: string, change: number): void {
        const count = (this.#countsByRow.get(key) ?? 0) + change;
        if (count === 0) {
            this.#countsByRow.delete(key);
            return;
        }
        this.#countsByRow.set(key, count);
    }

    #notifyIfIdle(): void {
        if (this.#inFlight > 0) {
            return;
        }
        const waiters = this.#idleWaiters;
        this.#idleWaiters = [];
        for (const resolve of waiters) {
            resolve();
        }
    }
}

const retryableError = (code: ErrorCode, message: string): GreengageError =>
    new GreengageError(message, { code, verdict: Verdict.NotRun, retryAfterMs: RETRY_AFTER_MS });
