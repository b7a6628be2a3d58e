import { Lifecycle } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { CALLER_KEY, createReport } from "../http/fixture.ts";
import { type DaemonFixture, runCli, startDaemon } from "./fixture.ts";

const CALLER_KEY_HASH = "d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81";

/** Starts a plain service that responds when the test calls `respond`. */
const startTestService = async (
    t: ExecutionContext,
): Promise<{ url: string; pendingCount: () => number; respond(): void; }> => {
    const pending: (() => void)[] = [];
    const server = createServer((incoming, response) => {
        pending.push(() => {
            response.setHeader("x-request-id", String(incoming.headers["x-request-id"]));
            response.end("done");
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { url, pendingCount: () => pending.length, respond: () => pending.forEach((end) => end()) };
};

const postJson = async (url: string, key: string, body: object): Promise<number> => {
    const response = await request(url, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await response.body.dump();
    return response.statusCode;
};

/** Starts a daemon with one request in flight at a plain service. */
const startBusyDaemon = async (
    t: ExecutionContext,
): Promise<{ daemon: DaemonFixture; respond: () => void; response: Promise<number>; }> => {
    const daemon = await startDaemon(t, { drainGraceMs: 500 });
    const service = await startTestService(t);
    await daemon.cli("table", "set", "organisation/umbrella", `apiKeyHashes=["${CALLER_KEY_HASH}"]`);
    await daemon.cli("table", "set", "service/slow", "timeoutMs=60000");
    const reports = new Lifecycle();
    t.teardown(() => reports.close());
    const report = createReport({ kind: "service", service: "slow", url: service.url });
    let sequence = 0;
    const sendReport = async (): Promise<void> => {
        sequence += 1;
        await postJson(`${daemon.url}/backend/v1/report`, "backend-key", { ...report, sequence });
    };
    reports.every(300, sendReport, () => undefined);
    await waitFor("the service", async () => {
        const { stdout } = await daemon.cli("groups", "--json");
        return JSON.parse(stdout).services.some((view: { available: boolean; }) => view.available)
            || undefined;
    });
    const response = request(`${daemon.url}/v1/services/slow/work`, {
        headers: { authorization: `Bearer ${CALLER_KEY}` },
    }).then(async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
    }, () => 0);
    await waitFor("the request", () => service.pendingCount() === 1 || undefined);
    return { daemon, respond: service.respond, response };
};

// Guards against daemon restarts that leave callers without a response.
test("SIGTERM makes the daemon not ready, and it exits when its requests have finished", async (t) => {
    const { daemon, respond, response } = await startBusyDaemon(t);
    daemon.process.kill("SIGTERM");
    await waitFor("not ready", async () => {
        const ready = await request(`${daemon.url}/health/ready`);
        await ready.body.dump();
        return ready.statusCode === 503 || undefined;
    });
    await waitFor("refusal of new requests", async () => {
        const rejected = await request(`${daemon.url}/v1/models`, {
            headers: { authorization: `Bearer ${CALLER_KEY}` },
        });
        return (await rejected.body.text()).includes("\"title\":\"draining\"") || undefined;
    });
    t.is(daemon.process.exitCode, null);
    respond();
    t.is(await response, 200);
    t.is((await daemon.exited).exitCode, 0);
});

test("a second signal stops the daemon immediately with exit code 1", async (t) => {
    const { daemon, response } = await startBusyDaemon(t);
    daemon.process.kill("SIGTERM");
    await waitFor("not ready", async () => {
        const ready = await request(`${daemon.url}/health/ready`);
        await ready.body.dump();
        return ready.statusCode === 503 || undefined;
    });
    daemon.process.kill("SIGTERM");
    const { exitCode, stderr } = await daemon.exited;
    t.is(exitCode, 1);
    t.regex(stderr, /second signal/);
    t.is(await response, 0);
});

test("a failed start names the component and closes the others", async (t) => {
    const { settingsPath } = await startDaemon(t);
    const { exitCode, stderr } = await runCli(["serve", settingsPath]);
    t.is(exitCode, 1);
    t.regex(stderr, /the part "\w+" could not start: /);
});
