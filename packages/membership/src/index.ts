export * from "./acceptors.ts";
export * from "./directory.ts";
export * from "./membership.ts";
export * from "./reports.ts";
export * from "./timing.ts";
