import { waitFor } from "@greengage/faults";
import test from "ava";
import { PlatformEngine } from "./engine.ts";
import { call } from "./fixtures.ts";
import {
    busiestFirst,
    countStatuses,
    logged,
    REQUEST_INTERVAL_MS,
    sendTraffic,
    startSmallFleet,
    STREAM_INTERVAL_MS,
    STREAM_TARGET_MS,
    WARM_UP_MS,
} from "./smallfleet.ts";

/** Time after an answer of a leaving server from which no request may reach it. */
const DRAIN_MS = 2_000;

for (
    const { service, path, isCutOff } of [
        { service: "llm", path: "/chat/", isCutOff: false },
        { service: "llm", path: "/chat/", isCutOff: true },
        { service: "ledger", path: "/read/", isCutOff: false },
        { service: "ledger", path: "/read/", isCutOff: true },
        { service: "ledger", path: "/pay/", isCutOff: false },
    ] as const
) {
    const suffix = isCutOff ? ", also without control daemons" : "";
    // Guards against a server that says only in its answers that it leaves.
    test.serial(`a server that leaves gets no requests of ${path} later than its drain${suffix}`, async (t) => {
        t.timeout(60_000);
        const fixture = await startSmallFleet(t, {
            service,
            entryCount: 1,
            serverCount: service === "llm" ? 2 : 3,
            streamTargetMs: STREAM_TARGET_MS,
        });
        const { platform, countOf } = fixture;
        const traffic = { path, intervalMs: service === "llm" ? STREAM_INTERVAL_MS : REQUEST_INTERVAL_MS };
        await sendTraffic(platform, { ...traffic, durationMs: WARM_UP_MS });
        if (isCutOff) {
            platform.controlProcess.kill("SIGKILL");
        }
        const [leaving] = busiestFirst(fixture) as [PlatformEngine];
        leaving.saysLeaving = true;
        const early = await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS + 100 });
        const countBefore = countOf(leaving);
        const late = await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS });
        t.log({ lateArrivals: countOf(leaving) - countBefore });
        t.is(countOf(leaving) - countBefore, 0);
        t.deepEqual(countStatuses([...early, ...late]), { 200: early.length + late.length });
        const listed = await call(`http://${platform.metrics}/holds`);
        const { holds } = JSON.parse(listed?.text ?? "{}") as { holds: object[]; };
        t.log(listed?.text);
        t.is(holds.length, 1);
        t.like(holds[0], { server: leaving.id, state: "leaving", until: undefined });
        if (!isCutOff) {
            const reports = logged(platform.controlLog(), "server.leaving");
            t.deepEqual(reports.map(({ server }) => server), [leaving.id]);
            const isClosing = logged(platform.controlLog(), "group.phase").some(({ to, head }) =>
                to === "closing" && head === leaving.id
            );
            t.is(isClosing, service === "llm", "the group of the leaving head is replaced");
        }
    });
}

// Guards against a hold that outlives the process that asked for it.
for (const { kind } of [{ kind: "leaves" }, { kind: "pauses" }]) {
    test.serial(`a server that ${kind} and starts again under its id gets requests again`, async (t) => {
        t.timeout(60_000);
        const fixture = await startSmallFleet(t, { service: "ledger", entryCount: 1, serverCount: 2 });
        const { platform, fleet, countOf } = fixture;
        const traffic = { path: "/read/", intervalMs: REQUEST_INTERVAL_MS };
        const [first, other] = busiestFirst(fixture) as [PlatformEngine, PlatformEngine];
        first.saysLeaving = kind === "leaves";
        first.retryAfterS = kind === "pauses" ? "60" : undefined;
        await sendTraffic(platform, { ...traffic, durationMs: DRAIN_MS });
        first.stop();
        const options = { id: first.id, service: "ledger", control: platform.control, fleet };
        const second = await PlatformEngine.start(t, { ...options, port: first.port });
        const countBefore = countOf(second);
        // Between two idle servers, the choice may always fall on the same one.
        other.stop();
        await waitFor("requests at the new process", async () => {
            await sendTraffic(platform, { ...traffic, durationMs: 10 * REQUEST_INTERVAL_MS });
            return countOf(second) > countBefore ? true : undefined;
        });
        t.true(second.executedHeaders.length > 0);
    });
}
