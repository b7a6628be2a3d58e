export * from "./admission.ts";
export * from "./health.ts";
export * from "./limits.ts";
export * from "./operators/api.ts";
export { fleetSummaries } from "./operators/fleet.ts";
export * from "./operators/router.ts";
export * from "./server.ts";
