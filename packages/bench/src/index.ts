export * from "./cluster.ts";
export * from "./requests.ts";
