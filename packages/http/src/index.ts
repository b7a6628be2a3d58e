export * from "./server.ts";
