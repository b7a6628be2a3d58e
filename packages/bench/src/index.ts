export * from "./chaos/plan.ts";
export * from "./chaos/run.ts";
export * from "./cluster.ts";
export * from "./links.ts";
export * from "./requests.ts";
export * from "./zone/hub.ts";
export * from "./zone/vm.ts";
export * from "./zone/zone.ts";
