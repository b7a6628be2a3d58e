export * from "./ports.ts";
export * from "./process.ts";
export * from "./proxy.ts";
export * from "./serverlinks.ts";
export * from "./wait.ts";
