export * from "./admission.ts";
export * from "./firsttokenoffsets.ts";
export * from "./gateway.ts";
export { GroupState, type InFlightRequest } from "./groupstates.ts";
export * from "./placement.ts";
export { PLACEMENT_TIMEOUT_MS, PlacementClient, type RequestPlacement } from "./placementclient.ts";
export * from "./placementservice.ts";
export * from "./retrybudgets.ts";
export * from "./types.ts";
