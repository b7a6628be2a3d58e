export * from "./register.ts";
export * from "./router.ts";
export * from "./types.ts";
export * from "./validate.ts";
