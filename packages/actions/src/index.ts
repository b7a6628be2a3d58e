export * from "./commands.ts";
export * from "./records.ts";
export * from "./service.ts";
