import { type Context, messageOf, monotonicMs } from "@greengage/base";
import type { PlaceAnswer, PlaceRequest } from "@greengage/protocol";
import { rendezvousIds } from "@greengage/routing";

/** A control daemon answers within a few milliseconds within a region; a request is late after some hundred. */
export const PLACEMENT_TIMEOUT_MS = 40;
/** A control daemon that has not answered is not asked again for this long. */
const AVOID_MS = 1_000;

export type RequestPlacement = (controllerId: string, request: PlaceRequest) => Promise<PlaceAnswer>;

/** Asks the control daemon that places the requests of a model. All entry daemons ask the same one, while it answers. */
export class PlacementClient {
    readonly #context: Context;
    readonly #ask: RequestPlacement;
    readonly #avoidUntilMs = new Map<string, number>();
    #controllerIds: readonly string[] = [];

    constructor(context: Context, ask: RequestPlacement) {
        this.#context = context;
        this.#ask = ask;
    }

    setControllers(controllerIds: readonly string[]): void {
        this.#controllerIds = controllerIds;
        for (const controllerId of this.#avoidUntilMs.keys()) {
            if (!controllerIds.includes(controllerId)) {
                this.#avoidUntilMs.delete(controllerId);
            }
        }
    }

    /** The answer, or undefined when this daemon must choose by itself. */
    async place(request: PlaceRequest): Promise<PlaceAnswer | undefined> {
        const nowMs = monotonicMs();
        const controllerIds = this.#controllerIds.filter((id) => (this.#avoidUntilMs.get(id) ?? 0) <= nowMs);
        const [controllerId] = rendezvousIds(controllerIds, `${request.service}\n${request.model}`);
        if (controllerId === undefined) {
            return undefined;
        }
        try {
            return await this.#ask(controllerId, request);
        }
        catch (error) {
            this.#avoidUntilMs.set(controllerId, nowMs + AVOID_MS);
            this.#context.decisions.record("placement.lost", { controllerId, reason: messageOf(error) });
            return undefined;
        }
    }
}
