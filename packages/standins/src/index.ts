export * from "./engine.ts";
export * from "./ledger.ts";
export * from "./options.ts";
