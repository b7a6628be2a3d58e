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
import { formatRequest, parseResponse, RawCaller, type RawResponse } from "./rawcaller.ts";

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

/** Starts a platform whose engines serve streams and payments. Two engines form a group. */
export const startServing = async (
    t: ExecutionContext,
    { engineCount = 3, ...options }: {
        engineCount?: number;
        nodeArguments?: string[];
        programPath?: string;
    } = {},
): Promise<ServingFixture> => {
    const platform = await startPlatform(t, options);
    const { control, callers, readiness, entryLog } = platform;
    t.teardown(() => {
        if (!t.passed) {
            console.log(entryLog().split("\n").filter((line) => line.includes("drain")).join("\n"));
        }
    });
    const engines = await Promise.all(
        Array.from(
            { length: engineCount },
            (_, index) =>
                PlatformEngine.start(t, { id: `e${index + 1}`, service: "llm", domain: "d0", control }),
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

export const startRequest = async (fixture: ServingFixture, text: string): Promise<RawCaller> => {
    const caller = await fixture.open();
    caller.send(text);
    return caller;
};

export const waitUntilRunning = (fixture: ServingFixture, ids: readonly string[]): Promise<true> =>
    waitFor(
        "requests to run",
        async () => ids.every((id) => fixture.ranIds().includes(id)) ? true : undefined,
    );

export const waitUntilComplete = (caller: RawCaller): Promise<true> =>
    waitFor(
        "the end of a response",
        async () => caller.isClosed || parseResponse(caller.received)?.isComplete ? true : undefined,
    );

/** Line of the decision log that tells how a request ended. */
export interface FinalLine {
    event: string;
    request: string;
    outcome?: string;
    reason?: string;
}

const FINAL_EVENTS: ReadonlySet<string> = new Set([
    "request.answered",
    "request.answeredFailure",
    "request.rejected",
    "request.failed",
    "request.abandoned",
]);

/** Waits until the log of the first entry daemon has as many final lines of the requests as there are requests. */
export const waitForFinalLines = (
    { entryLog }: ServingFixture,
    ids: readonly string[],
): Promise<FinalLine[]> =>
    waitFor("the final lines of all requests", async () => {
        const lines = entryLog().split("\n").slice(0, -1).filter((line) => line.startsWith("{"))
            .map((line) => JSON.parse(line) as FinalLine)
            .filter(({ event, request }) => FINAL_EVENTS.has(event) && ids.includes(request));
        return lines.length >= ids.length ? lines : undefined;
    });
