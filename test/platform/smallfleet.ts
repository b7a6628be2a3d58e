import { sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import type { IncomingMessage } from "node:http";
import { type EngineFleet, PlatformEngine, type PlatformEngineOptions } from "./engine.ts";
import {
    call,
    type CallResult,
    callUntil,
    chatHeaders,
    type PlatformFixture,
    startPlatform,
    wireConfiguration,
} from "./fixtures.ts";

const ENGINES_PER_GROUP = 2;
export const REQUEST_INTERVAL_MS = 30;
/** A group counts a request for over a second at first, so one group alone has room for this rate only. */
export const STREAM_INTERVAL_MS = 80;
/** A busy machine delays first events, and predictions follow. */
export const STREAM_TARGET_MS = 2_000;
/** Duration of the traffic before a server changes. */
export const WARM_UP_MS = 600;

export interface SmallFleet {
    platform: PlatformFixture;
    fleet: EngineFleet;
    /** Heads of open groups, or the servers of the plain service. */
    servers: PlatformEngine[];
    /** Violations that the engines have found. */
    violations: string[];
    countOf(server: PlatformEngine): number;
}

export interface SmallFleetOptions {
    service: "llm" | "ledger";
    entryCount: number;
    /** Number of groups, or of servers of the plain service. */
    serverCount: number;
    /** Target for the first event of streams. Default: that of the configuration. */
    streamTargetMs?: number;
    /** Observes the engines, beside the counts of arrivals. */
    observe?: Partial<Pick<EngineFleet, "onArrival" | "onPause">>;
}

/** Starts daemons, and groups of two engines or servers of the plain service, which serve `/chat/`, or `/read/` and `/pay/`. */
export const startSmallFleet = async (
    t: ExecutionContext,
    { service, entryCount, serverCount, streamTargetMs, observe = {} }: SmallFleetOptions,
): Promise<SmallFleet> => {
    const platform = await startPlatform(t, { entryCount });
    const violations: string[] = [];
    const counts = new Map<string, number>();
    const fleet: EngineFleet = {
        engines: new Map(),
        modelSizes: { m: ENGINES_PER_GROUP },
        onRun: () => undefined,
        onViolation: (rule, detail) => violations.push(`${rule}: ${detail}`),
        onArrival: (engineId, message) => {
            counts.set(engineId, (counts.get(engineId) ?? 0) + 1);
            observe.onArrival?.(engineId, message);
        },
        onPause: observe.onPause,
    };
    const isModel = service === "llm";
    const engines: PlatformEngine[] = [];
    for (let index = 0; index < (isModel ? ENGINES_PER_GROUP : 1) * serverCount; index += 1) {
        const options: PlatformEngineOptions = {
            id: `e${index}`,
            service,
            control: platform.control,
            fleet,
            ...(isModel ? { domain: "d0" } : {}),
        };
        engines.push(await PlatformEngine.start(t, options));
    }
    const { routes, ...configuration } = wireConfiguration(1);
    const [chat, pay] = routes as object[];
    const streams = streamTargetMs === undefined ? chat : { ...chat, target_latency_ms: streamTargetMs };
    const body = JSON.stringify({
        ...configuration,
        routes: [streams, pay, { ...pay, name: "read", path_prefix: "/read/", kind: "safe", attempts: 2 }],
    });
    await callUntil(200, `http://${platform.control}/greengageridge/Config.Replace`, {
        method: "POST",
        body,
    });
    const path = isModel ? "/chat/0" : "/read/0";
    for (const { readiness, callers } of platform.entries) {
        await callUntil(200, `http://${readiness}/greengageridge/ready`);
        await callUntil(200, `http://${callers}${path}`, { method: "POST", headers: chatHeaders("r0") });
    }
    const servers = await waitFor(`${serverCount} servers`, () => {
        const open = isModel ? engines.filter(({ member }) => member.acceptsRequests) : engines;
        return open.length === serverCount ? open : undefined;
    });
    return { platform, fleet, violations, servers, countOf: ({ id }) => counts.get(id) ?? 0 };
};

/** Time at which a request of the traffic was sent. */
export const sentAtMsOf = ({ headers }: IncomingMessage): number =>
    Number(String(headers["greengageridge-request-id"]).split("-")[1]);

export interface TrafficOptions {
    path: string;
    durationMs: number;
    intervalMs: number;
}

/** Answer to one request of the traffic. */
export interface TrafficAnswer {
    answer: CallResult | undefined;
    durationMs: number;
    sentAtMs: number;
}

/** Sends requests in turn to all entry daemons at a constant rate. */
export const sendTraffic = async (
    { entries }: PlatformFixture,
    { path, durationMs, intervalMs }: TrafficOptions,
): Promise<TrafficAnswer[]> => {
    const pending: Promise<TrafficAnswer>[] = [];
    const endMs = performance.now() + durationMs;
    for (let count = 1; performance.now() < endMs; count += 1) {
        const sentAtMs = performance.now();
        const headers = chatHeaders(`r${count}-${Math.round(sentAtMs)}`);
        const url = `http://${entries[count % entries.length]?.callers}${path}${count}`;
        pending.push(
            call(url, { method: "POST", body: "text", headers }).then((answer) => ({
                answer,
                sentAtMs,
                durationMs: Math.round(performance.now() - sentAtMs),
            })),
        );
        await sleep(intervalMs);
    }
    return await Promise.all(pending);
};

/** Servers in the order of the requests that they got. */
export const busiestFirst = ({ servers, countOf }: SmallFleet): PlatformEngine[] =>
    [...servers].sort((a, b) => countOf(b) - countOf(a));

/** Lines of one event in a daemon's log. */
export const logged = (log: string, event: string): Record<string, unknown>[] =>
    log.split("\n").filter((line) => line.includes(`"${event}"`)).map((line) =>
        JSON.parse(line) as Record<string, unknown>
    );

/** Numbers of answers by status. */
export const countStatuses = (answers: readonly TrafficAnswer[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { answer } of answers) {
        counts[String(answer?.status)] = (counts[String(answer?.status)] ?? 0) + 1;
    }
    return counts;
};
