import { waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import { PlatformEngine } from "./engine.ts";
import {
    callUntil,
    chatHeaders,
    type PlatformFixture,
    startPlatform,
    wireConfiguration,
} from "./fixtures.ts";
import { formatRequest, RawCaller, type RawResponse } from "./rawcaller.ts";

/** Timeout of the routes, which is longer than the grace period. */
export const ROUTE_TIMEOUT_MS = 20_000;
export const PROMPT = "prompt";

export interface ServingFixture extends PlatformFixture {
    engines: PlatformEngine[];
    ledger: PlatformEngine;
    /** Ids of the requests that engines have run. */
    ranIds: () => string[];
    open: () => Promise<RawCaller>;
}

/** Starts a platform whose engines serve streams and payments. */
export const startServing = async (t: ExecutionContext): Promise<ServingFixture> => {
    const platform = await startPlatform(t);
    const { control, callers, readiness, entryLog } = platform;
    t.teardown(() => {
        if (!t.passed) {
            console.log(entryLog().split("\n").filter((line) => line.includes("drain")).join("\n"));
        }
    });
    const engines = await Promise.all(
        ["e1", "e2", "e3"].map((id) =>
            PlatformEngine.start(t, { id, service: "llm", domain: "d0", control })
        ),
    );
    const ledger = await PlatformEngine.start(t, { id: "l1", service: "ledger", control });
    await replaceConfiguration(platform, 7, {});
    await callUntil(200, `http://${readiness}/greengageridge/ready`);
    await callUntil(200, `http://${callers}/chat/1`, {
        method: "POST",
        body: PROMPT,
        headers: chatHeaders("warm-up"),
    });
    return {
        ...platform,
        engines,
        ledger,
        ranIds: () =>
            [...engines, ledger].flatMap(({ executedHeaders }) => executedHeaders).map((headers) =>
                String(headers["greengageridge-request-id"])
            ),
        open: () => RawCaller.open(t, callers),
    };
};

/** Routes that outlast the grace period, among them one for safe requests to the ledger. */
const servingRoutes = (): object[] => {
    const { routes } = wireConfiguration(7) as { routes: object[]; };
    const read = { ...routes[1], name: "read", path_prefix: "/read/", kind: "safe", attempts: 2 };
    return [...routes, read].map((route) => ({ ...route, timeout_ms: ROUTE_TIMEOUT_MS }));
};

/** Replaces the configuration, and waits until it is in force on the first entry daemon. */
export const replaceConfiguration = async (
    { control, entryLog }: PlatformFixture,
    version: number,
    fields: object,
): Promise<void> => {
    await callUntil(200, `http://${control}/greengageridge/Config.Replace`, {
        method: "POST",
        body: JSON.stringify(wireConfiguration(version, { routes: servingRoutes(), ...fields })),
    });
    const line = `"event":"configuration.inForce","version":${version}`;
    await waitFor(`version ${version}`, async () => entryLog().includes(line) ? true : undefined);
};

export const chat = (requestId: string, deadlineMs: number): string =>
    formatRequest({
        path: "/chat/1",
        headers: { ...chatHeaders(requestId), "greengageridge-deadline-ms": String(deadlineMs) },
        body: PROMPT,
    });

export const pay = (requestId: string, deadlineMs: number): string =>
    formatRequest({
        path: "/pay/1",
        headers: { ...chatHeaders(requestId), "greengageridge-deadline-ms": String(deadlineMs) },
        body: "amount",
    });

export const read = (requestId: string, deadlineMs: number): string =>
    formatRequest({
        path: "/read/1",
        headers: { ...chatHeaders(requestId), "greengageridge-deadline-ms": String(deadlineMs) },
        body: "amount",
    });

/** Interval of events; long, so that the duration of a stream doesn't grow with the load of the machine. */
const EVENT_GAP_MS = 200;

/** Makes streams last for `durationMs`. */
export const setStreamDuration = ({ engines }: ServingFixture, durationMs: number): void => {
    for (const engine of engines) {
        engine.eventGapMs = EVENT_GAP_MS;
        engine.eventCount = durationMs / engine.eventGapMs;
    }
};

export const assertRejected = (
    t: ExecutionContext,
    response: RawResponse | undefined,
    name: string,
): void => {
    t.is(response?.status, 503, name);
    t.true(response?.isComplete, name);
    t.regex(response?.head ?? "", /\r\nconnection: close/, name);
    t.regex(response?.head ?? "", /\r\nretry-after: \d/, name);
};

export const assertServed = (t: ExecutionContext, response: RawResponse | undefined, name: string): void => {
    t.is(response?.status, 200, name);
    t.true(response?.isComplete, name);
    t.regex(response?.head ?? "", /\r\nconnection: close/, name);
};
