export * from "./composite.ts";
export * from "./errors.ts";
export * from "./log.ts";
export * from "./memory.ts";
export * from "./raft.ts";
export * from "./timing.ts";
