import { monotonicMs, sleep } from "@greengage/base";
import type { GroupTarget, ServerTarget } from "@greengage/protocol";
import type { ServerIncarnation } from "@greengage/routing";
import { admissionLimitMs, spreadReturnMs } from "./admission.ts";
import { type Call, remainingMs } from "./call.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import type { ServerHead } from "./types.ts";

/** Requests that wait for the end of a pause all begin then, so those of only this time may wait. */
const MAX_RETURN_WAIT_MS = 250;
/** Timers may fire a little early. */
const TIMER_MARGIN_MS = 2;
/** Time after the end of a pause over which the requests that waited for it begin. */
const WAIT_SPREAD_MS = 100;

/** The incarnation of a server, or of the head of a group. */
export const incarnationOf = (target: ServerTarget | GroupTarget): ServerIncarnation => ({
    serverId: "headId" in target ? target.headId : target.serverId,
    incarnation: target.bornMs,
});

/** Records what a response says about its server beside the response itself. `sentAtMs`: time at which the request was written. */
export const observeServer = (
    { requestLimits, serverHolds }: GatewayDependencies,
    server: ServerIncarnation,
    { limit, pause, isLeaving }: ServerHead,
    sentAtMs: number,
): void => {
    const receivedAtMs = monotonicMs();
    requestLimits.observe({ serverId: server.serverId, limit, sentAtMs, receivedAtMs });
    if (pause !== undefined) {
        serverHolds.observePause(server, pause, receivedAtMs);
    }
    if (isLeaving) {
        serverHolds.observeLeaving(server, receivedAtMs);
    }
};

/** Result of waiting for the first of several servers that take no requests now. */
export type ReturnWait =
    /** None of them pauses. */
    | { kind: "none"; }
    | { kind: "returned"; }
    /** The request can't begin in time. */
    | { kind: "tooLate"; retryAfterMs: number; };

/** Waits, once for a request, for the first end of the pauses of servers, if the request can then begin within its limit. */
export const waitForReturn = async (
    { serverHolds, random }: GatewayDependencies,
    call: Call,
    servers: readonly ServerIncarnation[],
    { isRetry, hasWaited }: { isRetry: boolean; hasWaited: boolean; },
): Promise<ReturnWait> => {
    const nowMs = monotonicMs();
    const first = serverHolds.earliestReturn(servers, nowMs);
    if (first === undefined) {
        return { kind: "none" };
    }
    const limitMs = admissionLimitMs({
        elapsedMs: nowMs - call.request.receivedAtMs,
        targetMs: call.route.targetMs,
        remainingMs: remainingMs(call),
        isRetry,
    });
    const fraction = random.nextFloat();
    const waitMs = first.waitMs + fraction * WAIT_SPREAD_MS;
    if (hasWaited || waitMs > Math.min(limitMs, MAX_RETURN_WAIT_MS)) {
        return { kind: "tooLate", retryAfterMs: spreadReturnMs(first, fraction) };
    }
    await sleep(waitMs + TIMER_MARGIN_MS);
    return { kind: "returned" };
};
