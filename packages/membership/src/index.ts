export * from "./acceptors.ts";
export * from "./directory.ts";
export type { ZoneMeasures } from "./measures.ts";
export * from "./membership.ts";
export type { Orders } from "./orders.ts";
export { OrderResult } from "./orders.ts";
export { PlacementName } from "./placement.ts";
export * from "./reports.ts";
export * from "./timing.ts";
