import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { PlacementRequest, PlacementResponse } from "@greengage/protocol";
import { rendezvousIds } from "@greengage/routing";

/** Control daemons of the region answer within a few milliseconds, and a request misses its target after some hundred. */
export const PLACEMENT_TIMEOUT_MS = 40;
/** Time for which a control daemon is not asked again after a failed call. */
const CONTROLLER_AVOIDANCE_MS = 1_000;

export type RequestPlacement = (
    controllerId: string,
    request: PlacementRequest,
) => Promise<PlacementResponse>;

/** Asks control daemons to place requests. All entry daemons ask the same one for a model, as long as it answers. */
export class PlacementClient {
    readonly #context: Context;
    readonly #requestPlacement: RequestPlacement;
    readonly #avoidUntilMs = new Map<string, number>();
    #controllerIds: readonly string[] = [];

    constructor(context: Context, requestPlacement: RequestPlacement) {
        this.#context = context;
        this.#requestPlacement = requestPlacement;
    }

    setControllers(controllerIds: readonly string[]): void {
        this.#controllerIds = controllerIds;
        for (const controllerId of this.#avoidUntilMs.keys()) {
            if (!controllerIds.includes(controllerId)) {
                this.#avoidUntilMs.delete(controllerId);
            }
        }
    }

    /** Resolves with the answer of a control daemon, or undefined if this daemon must place the request itself. */
    async place(request: PlacementRequest): Promise<PlacementResponse | undefined> {
        const nowMs = monotonicMs();
        const controllerIds = this.#controllerIds.filter((id) => (this.#avoidUntilMs.get(id) ?? 0) <= nowMs);
        const [controllerId] = rendezvousIds(controllerIds, `${request.service}\n${request.model}`);
        if (controllerId === undefined) {
            return undefined;
        }
        try {
            return await this.#requestPlacement(controllerId, request);
        }
        catch (error) {
            this.#avoidUntilMs.set(controllerId, nowMs + CONTROLLER_AVOIDANCE_MS);
            this.#context.decisions.record("placement.lost", { controllerId, reason: messageOf(error) });
            return undefined;
        }
    }
}
