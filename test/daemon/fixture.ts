import { Lifecycle } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { type DaemonFixture, OPERATOR_KEY, startDaemon } from "../cli/fixture.ts";
import { BACKEND_KEY, CALLER_KEY, createReport } from "../http/fixture.ts";

const CALLER_KEY_HASH = "d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81";
const REPORT_PERIOD_MS = 300;

/** A plain service whose responses the test sends. */
export interface TestService {
    url: string;
    /** Number of requests received. */
    receivedCount(): number;
    pendingCount(): number;
    /** Responds to all pending requests. */
    respond(body?: Buffer): void;
}

/** Starts a plain service that responds when the test calls `respond`. */
export const startTestService = async (t: ExecutionContext): Promise<TestService> => {
    const pending = new Map<ServerResponse, string>();
    let receivedCount = 0;
    const server = createServer((incoming, response) => {
        receivedCount += 1;
        pending.set(response, String(incoming.headers["x-request-id"]));
        response.once("close", () => pending.delete(response));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const respond = (body = Buffer.from("done")): void => {
        for (const [response, requestId] of pending) {
            response.setHeader("x-request-id", requestId);
            response.end(body);
        }
    };
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        receivedCount: () => receivedCount,
        pendingCount: () => pending.size,
        respond,
    };
};

const postJson = async (url: string, key: string, body: object): Promise<void> => {
    const response = await request(url, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await response.body.dump();
};

const seedTable = (url: string): Promise<void> => {
    const changes = [
        {
            kind: "organisation",
            name: "umbrella",
            baseVersion: 0,
            columns: { apiKeyHashes: [CALLER_KEY_HASH] },
        },
        { kind: "service", name: "slow", baseVersion: 0, columns: { timeoutMs: 60_000 } },
    ];
    return postJson(`${url}/operator/v1/table`, OPERATOR_KEY, {
        editId: "seed",
        operator: "thandi",
        changes,
    });
};

const isServiceAvailable = async (url: string): Promise<boolean> => {
    const response = await request(`${url}/operator/v1/groups`, {
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    const { services } = await response.body.json() as { services: { available: boolean; }[]; };
    return services.some((view) => view.available);
};

export interface ServingDaemon {
    daemon: DaemonFixture;
    service: TestService;
    port: number;
}

/** Starts a daemon that serves organisation `umbrella` and the plain service `slow`. */
export const startServingDaemon = async (
    t: ExecutionContext,
    settings: object = {},
): Promise<ServingDaemon> => {
    const daemon = await startDaemon(t, settings);
    const service = await startTestService(t);
    await seedTable(daemon.url);
    const reports = new Lifecycle();
    t.teardown(() => reports.close());
    const report = createReport({ kind: "service", service: "slow", url: service.url });
    let sequence = 0;
    reports.every(REPORT_PERIOD_MS, async () => {
        sequence += 1;
        await postJson(`${daemon.url}/backend/v1/report`, BACKEND_KEY, { ...report, sequence });
    }, () => undefined);
    await waitFor("the service", async () => await isServiceAvailable(daemon.url) || undefined);
    return { daemon, service, port: Number(new URL(daemon.url).port) };
};

export interface HeadOptions {
    key?: string;
    headers?: string[];
    /** Announced body size. Default: no body. */
    bodyBytes?: number;
}

export const requestHead = (method: string, path: string, options: HeadOptions = {}): string => {
    const { key = CALLER_KEY, headers = [], bodyBytes } = options;
    const body = bodyBytes === undefined
        ? []
        : ["content-type: application/json", `content-length: ${bodyBytes}`];
    const lines = ["host: x", `authorization: Bearer ${key}`, ...body, ...headers];
    return `${method} ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`;
};

/** Waits until the daemon's readiness check fails, which is the start of its drain. */
export const waitForDrain = (daemon: DaemonFixture): Promise<true> =>
    waitFor("not ready", async () => {
        const response = await request(`${daemon.url}/health/ready`).catch(() => undefined);
        await response?.body.dump();
        return response?.statusCode === 503 || undefined;
    });
