import { sleep } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { type Arrival, CrashingEngines } from "./crashingengines.ts";
import {
    call,
    callUntil,
    chatHeaders,
    measureAnswerMs,
    type PlatformFixture,
    startPlatform,
    wireConfiguration,
} from "./fixtures.ts";

const GROUP_COUNT = 6;
const PLAIN_SERVER_COUNT = 3;
const REQUEST_INTERVAL_MS = 50;
const REQUESTS_PER_DEADLY_ONE = 10;
const DEADLY_MS = 9_000;
/** Time by which daemons in contact with each other know what one of them has learned. */
const CONTACT_MS = 3_000;
/** Crashes after which a request must not reach servers any more, and arrivals tolerated after that. */
const TOLERATED_CRASHES = 3;
const TOLERATED_ARRIVALS = 3;
/** Long, so that no request is rejected because the predicted latency of the remaining groups is too high. */
const TARGET_LATENCY_MS = 4_000;
/** Time that a daemon may add to the rejection of a request beyond that of an answer without a decision. */
const REJECTION_MS = 100;

interface Outcome {
    isDeadly: boolean;
    status: number;
    sentAtMs: number;
    answeredAtMs: number;
    /** Time of an answer without a decision that the same daemon gave meanwhile. */
    referenceMs: number;
}

/** Culprit as listed for operators. */
interface ListedCulprit {
    part: string;
    service: string;
    state: string;
}

interface Scenario {
    engines: CrashingEngines;
    deadlyPath: string;
    soundPath: (count: number) => string;
}

/** Sends a request to one of the entry daemons. A broken connection has status 0. */
const sendRequest = async (
    { entries }: PlatformFixture,
    path: string,
    count: number,
    isDeadly: boolean,
): Promise<Outcome> => {
    const entry = entries[count % entries.length];
    const sentAtMs = performance.now();
    const headers = {
        ...chatHeaders(`r${count}`),
        "greengageridge-prompt-prefix": "5c1e07a2:800,91bd3f06:410",
    };
    const reference = measureAnswerMs(entry?.callers ?? "");
    let status = 0;
    try {
        const { statusCode, body } = await request(`http://${entry?.callers}${path}`, {
            method: "POST",
            body: isDeadly ? "deadly" : `sound-${count}`,
            headers,
        });
        await body.text();
        status = statusCode;
    }
    catch {
        // A broken connection counts as not served.
    }
    const answeredAtMs = performance.now();
    return { isDeadly, status, sentAtMs, answeredAtMs, referenceMs: await reference };
};

/** Sends requests at a constant rate, of which a share has the same content, and checks what reaches the servers. */
const checkDeadlyRequest = async (
    t: ExecutionContext,
    platform: PlatformFixture,
    { engines, deadlyPath, soundPath }: Scenario,
): Promise<void> => {
    engines.deadlyPaths.add(deadlyPath);
    const pending: Promise<Outcome>[] = [];
    const endMs = performance.now() + DEADLY_MS;
    for (let count = 1; performance.now() < endMs; count += 1) {
        const isDeadly = count % REQUESTS_PER_DEADLY_ONE === 0;
        pending.push(sendRequest(platform, isDeadly ? deadlyPath : soundPath(count), count, isDeadly));
        await sleep(REQUEST_INTERVAL_MS);
    }
    const outcomes = await Promise.all(pending);
    const { crashTimesMs, arrivals } = engines;
    const quarantinedFromMs = (crashTimesMs[TOLERATED_CRASHES - 1] ?? crashTimesMs.at(-1) ?? 0) + CONTACT_MS;
    const lateArrivals = arrivals.filter(({ path, atMs }: Arrival) =>
        path === deadlyPath && atMs > quarantinedFromMs
    );
    const late = outcomes.filter(({ sentAtMs }) => sentAtMs > quarantinedFromMs);
    const lateDeadly = late.filter(({ isDeadly }) => isDeadly);
    const lateSound = late.filter(({ isDeadly }) => !isDeadly);
    const rejected = lateDeadly.filter(({ status, sentAtMs, answeredAtMs, referenceMs }) =>
        status === 503 && answeredAtMs - sentAtMs <= referenceMs + REJECTION_MS
    );
    const served = lateSound.filter(({ status }) => status === 200);
    t.log(
        `${crashTimesMs.length} crashes, ${lateArrivals.length} late arrivals, ${rejected.length} of ${lateDeadly.length} `
            + `rejected at once, ${served.length} of ${lateSound.length} sound ones served; reference up to `
            + `${Math.round(Math.max(...lateDeadly.map(({ referenceMs }) => referenceMs)))} ms`,
    );
    t.true(crashTimesMs.length > 0, "no server has crashed");
    t.true(lateArrivals.length <= TOLERATED_ARRIVALS, `${lateArrivals.length} late arrivals`);
    t.is(rejected.length, lateDeadly.length);
    t.is(served.length, lateSound.length);
    t.deepEqual(engines.violations, []);
};

/** Checks that operators see the quarantine of the request, and that it is served once they have lifted it. */
const checkLift = async (
    t: ExecutionContext,
    platform: PlatformFixture,
    { deadlyPaths }: CrashingEngines,
): Promise<void> => {
    const quarantineUrl = `http://${platform.controlMetrics}/quarantine`;
    const { parts } = JSON.parse((await call(quarantineUrl))?.text ?? "") as { parts: ListedCulprit[]; };
    const [listed] = parts.filter(({ state }) => state === "quarantined");
    t.regex(listed?.part ?? "", /^request:[0-9a-f]{32}$/);
    t.is(listed?.service, "ledger");
    const [deadlyPath = ""] = deadlyPaths;
    deadlyPaths.clear();
    t.is((await call(`${quarantineUrl}/${listed?.part}`, { method: "DELETE" }))?.status, 200);
    await waitFor(
        "the request to be served",
        async () => (await sendRequest(platform, deadlyPath, 0, true)).status === 200 || undefined,
    );
};

const startSystem = async (t: ExecutionContext): Promise<PlatformFixture> => {
    const platform = await startPlatform(t, { entryCount: 2 });
    const { routes, ...configuration } = wireConfiguration(1);
    const [chat, pay] = routes as object[];
    const read = { ...pay, name: "read", path_prefix: "/read/", kind: "safe", attempts: 2 };
    const body = JSON.stringify({
        ...configuration,
        routes: [{ ...chat, target_latency_ms: TARGET_LATENCY_MS }, pay, read],
    });
    await callUntil(200, `http://${platform.control}/greengageridge/Config.Replace`, {
        method: "POST",
        body,
    });
    return platform;
};

// Guards against a request that comes again with the same content being sent to one server after the other.
test("a request that crashes engines takes down group after group", async (t) => {
    t.timeout(60_000);
    const platform = await startSystem(t);
    const options = { groupCount: GROUP_COUNT, sendsHeadEarly: true };
    const engines = await CrashingEngines.start(t, platform, options);
    for (const { callers } of platform.entries) {
        await callUntil(200, `http://${callers}/chat/0`, { method: "POST", headers: chatHeaders("r0") });
    }
    await engines.waitForGroups(GROUP_COUNT);
    await checkDeadlyRequest(t, platform, {
        engines,
        deadlyPath: "/chat/deadly",
        soundPath: (count) => `/chat/${count}`,
    });
});

for (const kind of ["read", "pay"]) {
    test(`a request (${kind}) that crashes servers takes down a whole plain service`, async (t) => {
        t.timeout(60_000);
        const platform = await startSystem(t);
        const engines = await CrashingEngines.startPlain(t, platform, PLAIN_SERVER_COUNT);
        for (const { callers } of platform.entries) {
            await callUntil(200, `http://${callers}/read/0`, { method: "POST", headers: chatHeaders("r0") });
        }
        await checkDeadlyRequest(t, platform, {
            engines,
            deadlyPath: `/${kind}/deadly`,
            soundPath: (count) => `/pay/${count}`,
        });
        await checkLift(t, platform, engines);
    });
}
