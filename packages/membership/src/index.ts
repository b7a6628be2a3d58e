export * from "./acceptorselection.ts";
export * from "./directory.ts";
export * from "./membership.ts";
export type { OrderSender } from "./orders.ts";
export { OrderResult } from "./orders.ts";
export { PlacementName } from "./placement.ts";
export * from "./reportforwarder.ts";
export * from "./timing.ts";
export type { ZoneStats } from "./zonestats.ts";
