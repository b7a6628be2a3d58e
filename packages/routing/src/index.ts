export * from "./dispatcher.ts";
export * from "./types.ts";
