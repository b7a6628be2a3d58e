export * from "./acceptors.ts";
export type { ZoneMeasures } from "./controller.ts";
export * from "./directory.ts";
export * from "./membership.ts";
export type { Orders } from "./orders.ts";
export { OrderResult } from "./orders.ts";
export { PlacementName } from "./placement.ts";
export * from "./reports.ts";
export * from "./timing.ts";
