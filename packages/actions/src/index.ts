export * from "./records.ts";
export * from "./service.ts";
