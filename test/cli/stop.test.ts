import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { startServingDaemon } from "../daemon/fixture.ts";
import { CALLER_KEY } from "../http/fixture.ts";
import { type DaemonFixture, runCli, startDaemon } from "./fixture.ts";

/** Starts a daemon with one request in flight at a plain service. */
const startBusyDaemon = async (
    t: ExecutionContext,
): Promise<{ daemon: DaemonFixture; respond: () => void; response: Promise<number>; }> => {
    const { daemon, service } = await startServingDaemon(t, { drainGraceMs: 500 });
    const response = request(`${daemon.url}/v1/services/slow/work`, {
        headers: { authorization: `Bearer ${CALLER_KEY}` },
    }).then(async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
    }, () => 0);
    await waitFor("the request", () => service.pendingCount() === 1 || undefined);
    return { daemon, respond: () => service.respond(), response };
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
