import { monotonicMs, sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundle } from "../../scripts/bundle.ts";
import { startRawServer } from "../gateway/rawserver.ts";
import { PlatformEngine } from "./engine.ts";
import { call, chatHeaders } from "./fixtures.ts";
import { type ServingFixture, startServing } from "./serving.ts";

/** Election timeout of the control daemons: one that stands still for so long loses its leadership. */
const STALL_LIMIT_MS = 700;
const PROBE_INTERVAL_MS = 40;
const CONCURRENT_REQUESTS = 8;
/** No status of HTTP; the HTTP client asserts that there is none. */
const INVALID_RESPONSE = "HTTP/1.1 099 X\r\ngreengageridge-request-id: {id}\r\ncontent-length: 4\r\n\r\ndone";

const temporaryFolder = (t: ExecutionContext): string => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-bundle-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    return folder;
};

const bundlePlatform = async (t: ExecutionContext): Promise<string> => {
    const path = join(temporaryFolder(t), "greengage.bundle.cjs");
    await bundle("platform/main.ts", path, { optimizeStartup: true });
    return path;
};

/** Longest time without an answer while `action` runs, and for two more probes. */
const longestAnswerMs = async (url: string, action: () => Promise<void>): Promise<number> => {
    let isDone = false;
    const probe = async (): Promise<number> => {
        let longestMs = 0;
        for (let remaining = 2; remaining > 0; remaining -= isDone ? 1 : 0) {
            const sentAtMs = monotonicMs();
            await call(url);
            longestMs = Math.max(longestMs, monotonicMs() - sentAtMs);
            await sleep(PROBE_INTERVAL_MS);
        }
        return longestMs;
    };
    const [longestMs] = await Promise.all([probe(), action().finally(() => isDone = true)]);
    return longestMs;
};

interface Disturbance {
    service: string;
    probeUrl: (platform: ServingFixture) => string;
    /** Makes the daemon meet the server that answers with bytes that are no response. */
    disturb: (platform: ServingFixture, receivedCount: () => number) => Promise<void>;
}

const disturbances: Record<string, Disturbance> = {
    "an entry daemon": {
        service: "ledger",
        probeUrl: ({ callers }) => `http://${callers}/no-route/`,
        disturb: async ({ callers }, receivedCount) => {
            let count = 0;
            await waitFor("a request at the faulty server", async () => {
                const ids = Array.from({ length: CONCURRENT_REQUESTS }, () => `r${count++}`);
                await Promise.all(
                    ids.map((id) =>
                        call(`http://${callers}/read/${id}`, {
                            method: "POST",
                            body: "x",
                            headers: chatHeaders(id),
                        })
                    ),
                );
                return receivedCount() > 0 || undefined;
            });
        },
    },
    "a control daemon": {
        service: "llm",
        probeUrl: ({ controlMetrics }) => `http://${controlMetrics}/metrics`,
        disturb: async (_, receivedCount) => {
            await waitFor("an order at the faulty server", async () => {
                await sleep(PROBE_INTERVAL_MS);
                return receivedCount() > 0 || undefined;
            });
        },
    },
};

// Guards against a daemon that stands still for seconds, as the first assertion that fails in its bundle makes Node.js parse
// the whole file.
for (const [title, { service, probeUrl, disturb }] of Object.entries(disturbances)) {
    test.serial(`${title} that was built goes on while a server answers with bytes that are no response`, async (t) => {
        const platform = await startServing(t, { programPath: await bundlePlatform(t) });
        const faulty = await startRawServer(t, { text: INVALID_RESPONSE });
        const longestMs = await longestAnswerMs(probeUrl(platform), async () => {
            const advertisedAddress = faulty.address;
            const domain = service === "llm" ? { domain: "d0" } : {};
            await PlatformEngine.start(t, {
                id: "x1",
                service,
                control: platform.control,
                advertisedAddress,
                ...domain,
            });
            await disturb(platform, () => faulty.receivedIds.length);
        });
        t.log(`longest answer: ${Math.round(longestMs)} ms`);
        t.true(longestMs < STALL_LIMIT_MS);
    });
}

const FAILING_PROGRAM = `
const assert = require("node:assert");
for (const check of [assert, assert.ok, assert.strict, require("assert")]) {
    try {
        check(1 > 2);
    }
    catch (error) {
        console.log(error.code, error.message);
    }
}
try {
    assert(false, "given");
}
catch (error) {
    console.log(error.code, error.message);
}
assert.strictEqual(1, 1);
`;

for (const optimizeStartup of [true, false]) {
    test(`assertions of bundled libraries fail without their source, optimizeStartup=${optimizeStartup}`, async (t) => {
        const folder = temporaryFolder(t);
        const source = join(folder, "program.cjs");
        writeFileSync(source, FAILING_PROGRAM);
        await bundle(source, join(folder, "bundle.cjs"), { optimizeStartup });
        const { stdout, status } = spawnSync(process.execPath, [join(folder, "bundle.cjs")], {
            encoding: "utf8",
        });
        const unnamed = "ERR_ASSERTION an assertion failed\n";
        t.is(stdout, `${unnamed.repeat(4)}ERR_ASSERTION given\n`);
        t.is(status, 0);
    });
}
