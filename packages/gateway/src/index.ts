export * from "./admission.ts";
export * from "./budgets.ts";
export * from "./gateway.ts";
export { GroupState, type GroupUse } from "./groups.ts";
export * from "./offsets.ts";
export * from "./placement.ts";
export { type AskForPlace, PLACE_TIMEOUT_MS, PlacementClient } from "./placementclient.ts";
export * from "./placer.ts";
export * from "./types.ts";
