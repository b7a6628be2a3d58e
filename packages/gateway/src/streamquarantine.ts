import { messageOf } from "@greengage/base";
import { type AttemptOutcome, CRASH_FAILURES } from "./attempt.ts";
import { backendError, type CallExecution } from "./call.ts";
import type { StreamDelivery } from "./delivery.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import type { GroupState } from "./groupstates.ts";

/** Keeps a stream's request from crashing more engines, as far as its culprits are known to. */
export class StreamQuarantine {
    readonly #deps: GatewayDependencies;
    readonly #execution: CallExecution;
    readonly #delivery: StreamDelivery;
    /** Whether the leader lets the request find out whether a quarantined part still crashes engines. */
    #isTrial = false;

    constructor(deps: GatewayDependencies, execution: CallExecution, delivery: StreamDelivery) {
        this.#deps = deps;
        this.#execution = execution;
        this.#delivery = delivery;
    }

    /** Whether the request has produced no event and may not be sent. */
    get isQuarantined(): boolean {
        const { service, culpritIds } = this.#execution.call;
        return !this.#delivery.hasHead && !this.#isTrial
            && this.#deps.crashSuspects.hasQuarantined(service.name, culpritIds);
    }

    /** Throws if the request has produced no event and one of its prompt parts is quarantined. */
    async check(): Promise<void> {
        if (this.#delivery.hasHead || this.#isTrial) {
            return;
        }
        const { service, culpritIds } = this.#execution.call;
        try {
            this.#isTrial = await this.#deps.crashSuspects.admit(service.name, culpritIds);
        }
        catch (error) {
            throw this.#execution.mayHaveRun ? backendError(messageOf(error)) : error;
        }
    }

    /** Whether a request that has lost its connection may be sent to another group, which it could crash too. */
    async mayRepeat(group: GroupState, outcome: AttemptOutcome, hasHead: boolean): Promise<boolean> {
        const isInterrupted = outcome.kind === "failed" && CRASH_FAILURES.has(outcome.failure);
        if (!isInterrupted) {
            return true;
        }
        const { crashSuspects } = this.#deps;
        const { service, culpritIds } = this.#execution.call;
        const isSuspected = !await crashSuspects.mayRepeatAfterFailure(service.name, group.target, {
            partIds: [...culpritIds],
            hasHead,
            ...(this.#delivery.firstEventMs === undefined ? {} : { hasEvents: true }),
        });
        const mayRepeat = !this.#isTrial && !isSuspected;
        if (!mayRepeat) {
            const { groupName } = group.target;
            this.#execution.record("request.notRepeated", { group: groupName, parts: [...culpritIds] });
        }
        return mayRepeat;
    }
}
