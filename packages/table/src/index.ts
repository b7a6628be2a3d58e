export * from "./edits.ts";
export * from "./rows.ts";
export * from "./state.ts";
