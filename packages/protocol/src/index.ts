export * from "./codec.ts";
export * from "./errors.ts";
export * from "./fleet.ts";
export * from "./messages.ts";
export * from "./network.ts";
export * from "./peers.ts";
export * from "./relay.ts";
export * from "./views.ts";
