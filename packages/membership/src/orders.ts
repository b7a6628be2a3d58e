import { type Context, LogPart, messageOf } from "@greengage/base";
import type { Assignment, VmReport } from "@greengage/protocol";
import { request } from "undici";
import type { ZoneLease } from "./lease.ts";

const ORDER_TIMEOUT_MS = 2_000;

/** Sends orders to backend servers while the zone's lease is valid. */
export class OrderSender {
    readonly #context: Context;
    readonly #lease: () => ZoneLease;
    readonly #key: string;

    constructor(context: Context, lease: () => ZoneLease, key: string) {
        this.#context = context;
        this.#lease = lease;
        this.#key = key;
    }

    /**
     * Orders a VM to load its rank of a group. `memberUrls` are the members' URLs in rank order.
     * Returns whether the VM accepted the order.
     */
    load(vm: VmReport, assignment: Omit<Assignment, "fence">, memberUrls: string[]): Promise<boolean> {
        return this.#send(vm, { kind: "load", assignment, memberUrls });
    }

    /** Orders a VM to leave its group. */
    release(vm: VmReport, groupId: string): Promise<boolean> {
        return this.#send(vm, { kind: "release", groupId });
    }

    async #send(vm: VmReport, order: object): Promise<boolean> {
        const lease = this.#lease();
        if (!lease.isValid) {
            return false;
        }
        try {
            const response = await request(`${vm.url}/orders`, {
                method: "POST",
                headers: { "content-type": "application/json", authorization: `Bearer ${this.#key}` },
                body: JSON.stringify({
                    ...order,
                    vmId: vm.vmId,
                    incarnationId: vm.incarnationId,
                    fence: lease.fence,
                }),
                headersTimeout: ORDER_TIMEOUT_MS,
                bodyTimeout: ORDER_TIMEOUT_MS,
            });
            const answer = await response.body.json() as { highestFence?: number; };
            if (response.statusCode === 409) {
                lease.raiseFence(answer.highestFence ?? 0);
            }
            return response.statusCode === 200;
        }
        catch (error) {
            this.#context.logs(LogPart.Groups).warn(`order to VM ${vm.vmId} failed`, {
                reason: messageOf(error),
            });
            return false;
        }
    }
}
