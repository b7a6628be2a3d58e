export * from "./composite.ts";
export * from "./errors.ts";
export * from "./log.ts";
export type { DynamicVoters } from "./members.ts";
export * from "./memory.ts";
export * from "./raft.ts";
export * from "./timing.ts";
export { ChangeSignal } from "./signal.ts";
