export * from "./routingtable.ts";
export * from "./state.ts";
export * from "./types.ts";
export * from "./validate.ts";
