import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { Socket } from "node:net";
import { notRunError } from "./errors.ts";
import type { HttpLimits } from "./limits.ts";

const RETRY_AFTER_MS = 1_000;

/** What a request works for, to count requests in flight. */
interface RequestSubject {
    organisation: string;
    /** Key of the table's row: `model/NAME` or `service/NAME`. */
    row: string;
}

/** Requests in flight by row of the table. */
export type InFlightCounts = Record<string, number>;

/** Admits requests of callers within the limits and counts those in flight. */
export class Admission {
    readonly #limits: HttpLimits;
    readonly #checkServing: () => void;
    readonly #countsByRow = new Map<string, number>();
    readonly #countsByConnection = new WeakMap<Socket, number>();
    #idleWaiters: (() => void)[] = [];
    #inFlight = 0;
    #isClosed = false;

    /** Whether responses close their connection, so that clients move to other daemons. */
    closesConnections = false;

    /** `checkServing` throws while the daemon must not serve callers. */
    constructor(limits: HttpLimits, checkServing: () => void = () => undefined) {
        this.#limits = limits;
        this.#checkServing = checkServing;
    }

    /** Requests of callers that are not finished. */
    get inFlight(): number {
        return this.#inFlight;
    }

    inFlightByRow(): InFlightCounts {
        return Object.fromEntries(this.#countsByRow);
    }

    /** Refuses new requests from now on, because the daemon stops. */
    close(): void {
        this.#isClosed = true;
    }

    /** Takes new requests again. */
    open(): void {
        this.#isClosed = false;
    }

    /** Runs one request within the limits. Throws before the work starts when there is no room. */
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

    /** Counts work for an organisation and a row of the table. */
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

    /** Resolves when no request is in flight. */
    waitUntilIdle(): Promise<void> {
        if (this.#inFlight === 0) {
            return Promise.resolve();
        }
        return new Promise((resolve) => this.#idleWaiters.push(resolve));
    }

    #checkLimits(socket: Socket): void {
        if (this.#isClosed) {
            throw retryableError(ErrorCode.Draining, "this daemon is draining and takes no new requests");
        }
        if (this.#inFlight >= this.#limits.concurrentRequests) {
            throw retryableError(
                ErrorCode.NoCapacity,
                `this daemon already handles ${this.#limits.concurrentRequests} requests`,
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
