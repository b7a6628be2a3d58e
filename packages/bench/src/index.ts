export * from "./cluster.ts";
export * from "./links.ts";
export * from "./requests.ts";
