export {
    ANSWERING_RULE,
    COINCIDENCE_MS,
    MAX_RIVALS,
    ONLY_REQUEST_RULE,
    REPORT_SETTLE_MS,
    SHARED_REQUEST_RULE,
    WAITING_RULE,
} from "./blame.ts";
export { packConfiguration, unpackConfiguration } from "./configurations.ts";
export * from "./controller.ts";
export * from "./crashreporthandler.ts";
export * from "./culpritquarantine.ts";
export * from "./departure.ts";
export * from "./departurestate.ts";
export * from "./entries.ts";
export * from "./group.ts";
export * from "./loadratelimiter.ts";
export * from "./orders.ts";
export * from "./planner.ts";
export * from "./quarantineoperations.ts";
export * from "./registry.ts";
export * from "./relaycandidates.ts";
export * from "./service.ts";
export * from "./suspicion.ts";
export * from "./timing.ts";
export * from "./usage.ts";
export * from "./view.ts";
export * from "./watcher.ts";
export * from "./watcherregistry.ts";
