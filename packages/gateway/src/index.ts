export * from "./admission.ts";
export * from "./budgets.ts";
export * from "./gateway.ts";
export * from "./placement.ts";
export * from "./types.ts";
