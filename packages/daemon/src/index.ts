export * from "./daemon.ts";
export * from "./settings.ts";
