export * from "./admission.ts";
export { Controllers, placementKeyOf } from "./controllers.ts";
export type { PartLeader } from "./crashreports.ts";
export * from "./drain.ts";
export * from "./firsttokenoffsets.ts";
export * from "./gateway.ts";
export { GroupState, type InFlightRequest } from "./groupstates.ts";
export * from "./outcome.ts";
export * from "./placement.ts";
export {
    PLACEMENT_TIMEOUT_MS,
    PlacementClient,
    type RequestPermit,
    type RequestPlacement,
} from "./placementclient.ts";
export * from "./placementservice.ts";
export { PromptParts, sharedPartIds } from "./promptparts.ts";
export * from "./retrybudgets.ts";
export * from "./types.ts";
