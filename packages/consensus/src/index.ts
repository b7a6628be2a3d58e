export * from "./composite.ts";
export * from "./fixed.ts";
export * from "./log.ts";
export * from "./memory.ts";
