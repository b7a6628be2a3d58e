export * from "./acceptorSelection.ts";
export * from "./directory.ts";
export * from "./membership.ts";
export type { OrderSender } from "./orders.ts";
export { OrderResult } from "./orders.ts";
export { PlacementName } from "./placement.ts";
export * from "./reportForwarder.ts";
export * from "./timing.ts";
export type { ZoneStats } from "./zoneStats.ts";
