export * from "./daemon.ts";
export * from "./settings.ts";
export * from "./settings/error.ts";
export * from "./settings/read.ts";
