export * from "./chooser.ts";
export * from "./dispatcher.ts";
export * from "./fairqueue.ts";
export * from "./limits.ts";
export * from "./loads.ts";
export * from "./strategies.ts";
export * from "./types.ts";
