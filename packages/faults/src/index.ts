export * from "./process.ts";
export * from "./wait.ts";
