import type {
    LimitPermitRequest,
    LimitPermitResponse,
    PlacementRequest,
    PlacementResponse,
} from "@greengage/protocol";
import { type Controllers, placementKeyOf } from "./controllers.ts";

/** Control daemons of the region answer within a few milliseconds, and a request misses its target after some hundred. */
export const PLACEMENT_TIMEOUT_MS = 40;

export type RequestPlacement = (
    controllerId: string,
    request: PlacementRequest,
) => Promise<PlacementResponse>;

export type RequestPermit = (
    controllerId: string,
    request: LimitPermitRequest,
) => Promise<LimitPermitResponse>;

/** Asks control daemons to place requests, and for permits of limited servers. Both resolve to undefined without an answer. */
export class PlacementClient {
    readonly #controllers: Controllers;
    readonly #requestPlacement: RequestPlacement;
    readonly #requestPermit: RequestPermit;

    constructor(controllers: Controllers, requestPlacement: RequestPlacement, requestPermit: RequestPermit) {
        this.#controllers = controllers;
        this.#requestPlacement = requestPlacement;
        this.#requestPermit = requestPermit;
    }

    place(request: PlacementRequest): Promise<PlacementResponse | undefined> {
        const key = placementKeyOf(request.service, request.model);
        return this.#controllers.ask(key, (controllerId) => this.#requestPlacement(controllerId, request));
    }

    acquirePermit(request: LimitPermitRequest): Promise<LimitPermitResponse | undefined> {
        return this.#controllers.ask(
            request.placementKey,
            (controllerId) => this.#requestPermit(controllerId, request),
        );
    }
}
