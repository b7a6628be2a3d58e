export * from "./admission.ts";
export { Controllers, placementKeyOf } from "./controllers.ts";
export type { CrashLeader } from "./crashreports.ts";
export { CrashSuspects, sharedPartIds } from "./crashsuspects.ts";
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
export * from "./retrybudgets.ts";
export * from "./types.ts";
