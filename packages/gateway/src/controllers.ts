import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { GroupTarget } from "@greengage/protocol";
import { type PermitQuery, rendezvousIds } from "@greengage/routing";

/** Time for which a control daemon is not asked again after a failed call. */
const CONTROLLER_AVOIDANCE_MS = 1_000;

/** Name by which the control daemon of a model, or of a plain service, is selected. */
export const placementKeyOf = (service: string, model?: string): string =>
    model === undefined ? service : `${service}\n${model}`;

/** Query for a permit to send a request to a group. Its head names the limit. */
export const permitOf = ({ service, model, headId }: GroupTarget, priority: number): PermitQuery => ({
    placementKey: placementKeyOf(service, model),
    serverId: headId,
    priority,
});

/** The control daemons. All entry daemons ask the same one for a placement key, as long as it answers. */
export class Controllers {
    readonly #context: Context;
    readonly #avoidUntilMs = new Map<string, number>();
    #controllerIds: readonly string[] = [];

    constructor(context: Context) {
        this.#context = context;
    }

    setIds(controllerIds: readonly string[]): void {
        this.#controllerIds = controllerIds;
        for (const controllerId of this.#avoidUntilMs.keys()) {
            if (!controllerIds.includes(controllerId)) {
                this.#avoidUntilMs.delete(controllerId);
            }
        }
    }

    /** Resolves with the answer of a control daemon, or undefined if this daemon must decide itself. */
    async ask<Answer>(
        placementKey: string,
        call: (controllerId: string) => Promise<Answer>,
    ): Promise<Answer | undefined> {
        const nowMs = monotonicMs();
        const controllerIds = this.#controllerIds.filter((id) => (this.#avoidUntilMs.get(id) ?? 0) <= nowMs);
        const [controllerId] = rendezvousIds(controllerIds, placementKey);
        if (controllerId === undefined) {
            return undefined;
        }
        try {
            return await call(controllerId);
        }
        catch (error) {
            this.#avoidUntilMs.set(controllerId, nowMs + CONTROLLER_AVOIDANCE_MS);
            this.#context.decisions.record("placement.lost", { controllerId, reason: messageOf(error) });
            return undefined;
        }
    }
}
