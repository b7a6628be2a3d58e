import { ByteBuffer, type Context, createConnector, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Assignment, VmReport } from "@greengage/protocol";
import { Agent, type Dispatcher } from "undici";
import type { ZoneLease } from "./lease.ts";

const ORDER_TIMEOUT_MS = 2_000;
/** The answer to an order is smaller than 1 KiB. */
const MAX_RESPONSE_BYTES = 64 * 1024;

/** Outcome of an order. After `unknown` the backend server may have accepted it, or may accept it later. */
export const OrderResult = {
    Accepted: "accepted",
    Refused: "refused",
    NotSent: "notSent",
    Unknown: "unknown",
} as const;

export type OrderResult = typeof OrderResult[keyof typeof OrderResult];

/** Sends orders to backend servers. */
export interface OrderSender {
    /** Orders a VM to load its rank of a group. `memberUrls` are the members' URLs in rank order. */
    load(vm: VmReport, assignment: Omit<Assignment, "fence">, memberUrls: string[]): Promise<OrderResult>;
    /** Orders a VM to leave its group. */
    release(vm: VmReport, groupId: string): Promise<OrderResult>;
    /** Whether an order with a fencing token up to `fence` may still reach a backend server. */
    mayHaveInFlight(fence: number): boolean;
    close(): Promise<void>;
}

export interface HttpOrderSenderOptions {
    context: Context;
    lease: () => Pick<ZoneLease, "isValid" | "fence" | "raiseReportedFence">;
    key: string;
    /** Time for which an order with unknown outcome counts as in flight. */
    unknownOutcomeMs: number;
}

/** The lease ended, or its fencing token was raised, between the decision and the write. */
class LeaseEndedError extends Error {}

/** Sends orders over HTTP. The lease is checked in the same synchronous step as the write, on the open connection. */
export class HttpOrderSender implements OrderSender {
    readonly #options: HttpOrderSenderOptions;
    readonly #agent = new Agent({ pipelining: 1, connect: createConnector(ORDER_TIMEOUT_MS) });
    /** Orders that may still arrive, and the monotonic time until which each counts as in flight. */
    readonly #inFlight = new Map<number, { fence: number; untilMs: number; }>();
    #nextId = 0;

    constructor(options: HttpOrderSenderOptions) {
        this.#options = options;
    }

    load(vm: VmReport, assignment: Omit<Assignment, "fence">, memberUrls: string[]): Promise<OrderResult> {
        return this.#send(vm, { kind: "load", assignment, memberUrls });
    }

    release(vm: VmReport, groupId: string): Promise<OrderResult> {
        return this.#send(vm, { kind: "release", groupId });
    }

    mayHaveInFlight(fence: number): boolean {
        const nowMs = monotonicMs();
        for (const [id, order] of this.#inFlight) {
            if (order.untilMs < nowMs) {
                this.#inFlight.delete(id);
            }
        }
        return [...this.#inFlight.values()].some((order) => order.fence <= fence);
    }

    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #send(vm: VmReport, order: object): Promise<OrderResult> {
        const lease = this.#options.lease();
        const { fence } = lease;
        const { vmId, incarnationId } = vm;
        const id = this.#nextId++;
        const state = { wasWritten: false };
        const beforeWrite = (): void => {
            if (!lease.isValid || lease.fence !== fence) {
                throw new LeaseEndedError(
                    "the lease ended or its fencing token changed before the order was written",
                );
            }
            state.wasWritten = true;
            this.#inFlight.set(id, { fence, untilMs: Number.POSITIVE_INFINITY });
        };
        try {
            const body = JSON.stringify({ ...order, vmId, incarnationId, fence });
            const response = await this.#post(vm.url, body, beforeWrite);
            this.#inFlight.delete(id);
            if (response.status === 409) {
                lease.raiseReportedFence(highestFenceIn(response.text));
            }
            return response.status === 200 ? OrderResult.Accepted : OrderResult.Refused;
        }
        catch (error) {
            this.#options.context.logs(LogPart.Groups).warn(`order to VM ${vmId} failed`, {
                reason: messageOf(error),
            });
            if (!state.wasWritten) {
                return OrderResult.NotSent;
            }
            this.#inFlight.set(id, { fence, untilMs: monotonicMs() + this.#options.unknownOutcomeMs });
            return OrderResult.Unknown;
        }
    }

    #post(
        url: string,
        body: string,
        beforeWrite: () => void,
    ): Promise<{ status: number; text: string; }> {
        const received = new ByteBuffer(MAX_RESPONSE_BYTES);
        let timer: NodeJS.Timeout | undefined;
        return new Promise<{ status: number; text: string; }>((resolve, reject) => {
            let status = 0;
            const handler: Dispatcher.DispatchHandler = {
                // undici calls this on the open connection, in the same step in which it writes the request.
                onRequestStart: (controller) => {
                    try {
                        beforeWrite();
                        timer = setTimeout(
                            () => controller.abort(new Error(`no response within ${ORDER_TIMEOUT_MS} ms`)),
                            ORDER_TIMEOUT_MS,
                        );
                    }
                    catch (error) {
                        controller.abort(error as Error);
                    }
                },
                onResponseStart: (_, statusCode) => {
                    status = statusCode;
                },
                onResponseData: (controller, piece) => {
                    if (received.append(piece) !== undefined) {
                        controller.abort(new Error("the response is too large"));
                    }
                },
                onResponseEnd: () => resolve({ status, text: received.bytes.toString("utf8") }),
                onResponseError: (_, error) => reject(error),
            };
            this.#agent.dispatch({
                origin: url,
                path: "/orders",
                method: "POST",
                headers: {
                    "content-type": "application/json",
                    authorization: `Bearer ${this.#options.key}`,
                },
                body,
                headersTimeout: 0,
                bodyTimeout: 0,
            }, handler);
        }).finally(() => {
            clearTimeout(timer);
            received.clear();
        });
    }
}

const highestFenceIn = (text: string): number => {
    try {
        const body = JSON.parse(text) as { highestFence?: unknown; };
        return Number.isSafeInteger(body.highestFence) ? body.highestFence as number : 0;
    }
    catch {
        return 0;
    }
};
