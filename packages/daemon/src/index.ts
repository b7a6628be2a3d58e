export * from "./daemon.ts";
export * from "./parts.ts";
export * from "./settings.ts";
export * from "./settings/error.ts";
export * from "./settings/read.ts";
export * from "./status.ts";
