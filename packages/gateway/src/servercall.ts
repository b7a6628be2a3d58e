import { type GreengageError, messageOf, monotonicMs, sleep } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { noCapacity, PathVerdict } from "@greengage/routing";
import { spreadRetryAfterMs } from "./admission.ts";
import { type AttemptOutcome, CRASH_FAILURES, wholeMsUntil } from "./attempt.ts";
import { backendError, type Call, CallExecution, remainingMs } from "./call.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import { isUnopened, PathAttempt } from "./pathattempt.ts";
import { isOrderlyRejection, isTurnedAway, MAX_LOST_PATHS } from "./rejections.ts";
import { type ServerSelection, ServerSelector } from "./serverselector.ts";
import { incarnationOf, observeServer } from "./serversignals.ts";
import type { ServerState } from "./serverstates.ts";

/** A request is not retried with less time than this left. */
const MIN_REMAINING_MS = 60;
/** Interval between checks of the path of a request that takes long. */
const PATH_CHECK_INTERVAL_MS = 400;
/** Mean `retryAfterMs` of requests for which no server is available. */
const BUSY_RETRY_AFTER_MS = 300;

type CompleteOutcome = Extract<AttemptOutcome, { kind: "complete"; }>;

/** Handles a request to a plain service, that is, a service without a model engine. */
export class ServerCall {
    readonly #deps: GatewayDependencies;
    readonly #call: Call;
    readonly #execution: CallExecution;
    readonly #selector: ServerSelector;
    readonly #triedIds = new Set<string>();
    /** Whether the leader lets the request find out whether it still crashes servers. */
    #isTrial = false;
    /** Attempts that don't count, as their servers wanted no requests. */
    #turnedAwayCount = 0;
    /** Attempts that don't count, as they failed only because their paths were lost. */
    #lostPathCount = 0;
    /** Fields about the path of the last attempt for the decision log. */
    #pathFields: PathAttempt["pathFields"] | undefined;
    /** Whether the request may crash the next server, too. */
    #isSuspected = false;
    /** Response with an error status of an earlier attempt. It is delivered if no other server takes the request. */
    #errorResponse: CompleteOutcome | undefined;

    constructor(deps: GatewayDependencies, call: Call) {
        this.#deps = deps;
        this.#selector = new ServerSelector(deps, call);
        this.#call = call;
        this.#execution = new CallExecution(deps, call);
    }

    run(): Promise<void> {
        return this.#execution.run(() => this.#runAttempts());
    }

    async #runAttempts(): Promise<void> {
        let reason = "no server of the service is available";
        while (this.#execution.endReason === undefined) {
            await this.#checkQuarantine();
            const selection = await this.#selector.select(this.#triedIds, this.#execution.attemptCount > 0);
            if (selection.kind !== "server") {
                this.#endWithoutServer(selection, reason);
                return;
            }
            const { server, startDelayMs } = selection;
            if (startDelayMs > 0) {
                await sleep(startDelayMs);
            }
            // The call may have ended while it waited for a permit.
            if (this.#execution.endReason !== undefined) {
                break;
            }
            if (!this.#execution.reserveAttempt()) {
                throw this.#finalError(`${reason}; the retry budget is exhausted`);
            }
            const outcome = await this.#runAttempt(server, startDelayMs);
            if (this.#execution.endReason !== undefined) {
                break;
            }
            if (outcome.kind === "complete" && this.#deliverResponse(outcome)) {
                return;
            }
            reason = outcome.kind === "complete"
                ? `responded with status ${outcome.head.status}`
                : outcome.reason;
            this.#execution.record("request.attemptFailed", {
                server: server.target.serverId,
                outcome: outcome.kind,
                reason,
                ...this.#pathFields,
            });
            if (!this.#mayRetry(outcome)) {
                throw this.#finalError(reason);
            }
        }
    }

    /** Throws if the request is quarantined. An earlier attempt may have run it. */
    async #checkQuarantine(): Promise<void> {
        const { service, culpritIds } = this.#call;
        try {
            this.#isTrial ||= await this.#deps.crashSuspects.admit(service.name, culpritIds);
        }
        catch (error) {
            throw this.#execution.mayHaveRun ? backendError(messageOf(error)) : error;
        }
    }

    /** Sends the response of an earlier attempt, or throws if there is none. */
    #endWithoutServer(selection: Exclude<ServerSelection, { kind: "server"; }>, reason: string): void {
        if (this.#errorResponse !== undefined) {
            this.#send(this.#errorResponse);
            return;
        }
        const remainingTimeMs = remainingMs(this.#call);
        const fraction = this.#deps.random.nextFloat();
        if (selection.kind === "limited") {
            throw this.#finalError(
                "all servers of the service are at their limits",
                spreadRetryAfterMs(selection.retryAfterMs, remainingTimeMs, fraction),
            );
        }
        throw selection.kind === "paused"
            ? this.#finalError("all servers of the service pause", selection.retryAfterMs)
            : this.#finalError(reason);
    }

    async #runAttempt(server: ServerState, startDelayMs: number): Promise<AttemptOutcome> {
        const { crashSuspects, serverHolds } = this.#deps;
        const { request, route, service, organisation, culpritIds, priority, deadlineAtMs } = this.#call;
        const { serverId, address } = server.target;
        let hasHead = false;
        const incarnation = incarnationOf(server.target);
        const nowMs = monotonicMs();
        this.#triedIds.add(serverId);
        this.#execution.attemptCount += 1;
        this.#execution.record("request.placed", {
            server: serverId,
            attempt: this.#execution.attemptCount,
            startDelayMs: startDelayMs > 0 ? Math.round(startDelayMs) : undefined,
        });
        const isSafe = route.kind === RouteKind.Safe;
        const mayHaveRunBefore = this.#execution.mayHaveRun;
        const attempt = new PathAttempt(this.#deps, {
            server: { serverId, address },
            bornMs: server.target.bornMs,
            name: `server ${serverId}`,
            createRequest: () => ({
                request,
                serverId,
                deadlineMs: wholeMsUntil(deadlineAtMs),
                organisation: organisation?.name,
                priority,
                lastEventId: request.lastEventId,
            }),
            usesPool: isSafe,
            closesConnection: !isSafe,
            mayWrite: () => {
                const isQuarantined = !this.#isTrial
                    && crashSuspects.hasQuarantined(service.name, culpritIds);
                if (isQuarantined || serverHolds.isHeld(incarnation, monotonicMs())) {
                    return false;
                }
                this.#execution.mayHaveRun = true;
                return true;
            },
            onSignals: (head, sentAtMs) => observeServer(this.#deps, incarnation, head, sentAtMs),
            onHead: (head) => {
                hasHead = true;
                if (head.load !== undefined) {
                    server.recordLoad(head.load, monotonicMs());
                }
            },
            record: (event, fields) => this.#execution.record(event, fields),
        });
        server.begin(nowMs);
        this.#execution.attempt = attempt;
        const pathTimer = isSafe
            ? setInterval(() => void this.#checkPath(attempt), PATH_CHECK_INTERVAL_MS)
            : undefined;
        const outcome = await attempt.run();
        clearInterval(pathTimer);
        this.#pathFields = attempt.pathFields;
        this.#execution.attempt = undefined;
        this.#turnedAwayCount += Number(isTurnedAway(outcome));
        server.end(
            !isOrderlyRejection(outcome) && !attempt.isPathLost
                && (outcome.kind !== "complete" || outcome.head.status >= 500),
        );
        if (outcome.kind === "notRun") {
            this.#execution.mayHaveRun = mayHaveRunBefore;
        }
        if (isUnopened(outcome)) {
            this.#execution.returnAttempt();
        }
        if (attempt.isPathLost) {
            this.#recordLostPath(serverId);
            return outcome;
        }
        if (outcome.kind === "complete") {
            crashSuspects.recordComplete(service.name, culpritIds, monotonicMs());
        }
        if (outcome.kind === "failed" && CRASH_FAILURES.has(outcome.failure)) {
            const mayRepeat = await crashSuspects.recordServerFailure(service.name, serverId, {
                partIds: [...culpritIds],
                hasHead,
            });
            // A trial that goes on to another server costs two.
            this.#isSuspected = this.#isTrial || !mayRepeat;
        }
        return outcome;
    }

    /** Moves an attempt that takes long to another path if its own one is lost. */
    async #checkPath(attempt: PathAttempt): Promise<void> {
        if (
            attempt.isOnDirectPath && this.#lostPathCount < MAX_LOST_PATHS
            && await this.#deps.paths.verify(attempt.server) === PathVerdict.Lost
            && attempt.isOnDirectPath && this.#execution.reserveRetry()
        ) {
            attempt.losePath("the path to the server is lost");
        }
    }

    /** Lets the request go on over the other path, also at the same server. */
    #recordLostPath(serverId: string): void {
        if (this.#lostPathCount < MAX_LOST_PATHS) {
            this.#lostPathCount += 1;
            this.#triedIds.delete(serverId);
        }
    }

    /** Sends a complete response to the caller. Returns false if the request should be retried instead. */
    #deliverResponse(outcome: CompleteOutcome): boolean {
        const { status } = outcome.head;
        if (status >= 500 && this.#call.route.kind === RouteKind.Safe && this.#hasAttemptsLeft()) {
            this.#errorResponse = outcome;
            return false;
        }
        this.#send(outcome);
        return true;
    }

    #send({ head, body }: CompleteOutcome): void {
        this.#call.response.send(head.status, head.headers, body);
        this.#execution.record("request.answered", {
            status: head.status,
            attempts: this.#execution.attemptCount,
        });
    }

    #hasAttemptsLeft(): boolean {
        return this.#execution.attemptCount
                < this.#call.route.maxAttempts + this.#turnedAwayCount + this.#lostPathCount
            && remainingMs(this.#call) > MIN_REMAINING_MS
            && this.#selector.candidates(this.#triedIds).length > 0;
    }

    #mayRetry(outcome: AttemptOutcome): boolean {
        const isAllowed = outcome.kind === "notRun"
            || (this.#call.route.kind === RouteKind.Safe && !this.#isSuspected);
        // After the last server has been tried, the selection tells when one of those that pause returns.
        return isAllowed && (isTurnedAway(outcome) || this.#hasAttemptsLeft())
            && !this.#call.response.isClosed;
    }

    /** `retryAfterMs`: time after which the caller should return, if a server has named one. */
    #finalError(
        reason: string,
        retryAfterMs = Math.round(BUSY_RETRY_AFTER_MS * (0.5 + this.#deps.random.nextFloat())),
    ): GreengageError {
        return this.#execution.mayHaveRun ? backendError(reason) : noCapacity(reason, retryAfterMs);
    }
}
