import test from "ava";
import fc from "fast-check";
import { MAX_COUNTED_FENCE } from "../../packages/membership/src/lease.ts";
import { BACKEND_KEY, createReport, send, startServer } from "./fixture.ts";

// Guards against invalid reports that would reach the controller of the zone.
const badReports: { field: string; changes: object; }[] = [
    { field: "vmId", changes: { vmId: "" } },
    { field: "sequence", changes: { sequence: -1 } },
    { field: "kind", changes: { kind: "robot" } },
    { field: "zone", changes: { zone: "zone-b" } },
    { field: "url", changes: { url: "file:///etc/passwd" } },
    { field: "url", changes: { url: "http://127.0.0.1:0" } },
    { field: "url", changes: { url: "http://127.0.0.1:70000" } },
    { field: "url", changes: { url: "http://127.0 .0.1:80" } },
    { field: "url", changes: { url: "http://127.0.0.1:80/path" } },
    { field: "url", changes: { url: "http://user@127.0.0.1:80" } },
    { field: "accelerators", changes: { accelerators: "8" } },
    // A fencing token that leaves no higher one would stop the control of its zone.
    { field: "highestFence", changes: { highestFence: Number.MAX_SAFE_INTEGER } },
    { field: "sequence", changes: { sequence: Number.MAX_SAFE_INTEGER } },
    {
        field: "load.kvUsedShare",
        changes: { load: { runningRequests: 0, waitingRequests: 0, tokenGapMs: 1 } },
    },
    { field: "service", changes: { kind: "service" } },
    {
        field: "assignment.rank",
        changes: {
            assignment: {
                groupId: "g",
                generation: 1,
                model: "m",
                memberVmIds: ["vm-2"],
                rank: 0,
                fence: 1,
                state: "ready",
            },
        },
    },
];

test("a valid report is accepted and keeps unknown fields", async (t) => {
    const { url, reports } = await startServer(t);
    const response = await send(`${url}/backend/v1/report`, {
        key: BACKEND_KEY,
        body: createReport({ adapter: "x" }),
    });
    t.deepEqual(response.json, { released: false });
    t.like(reports[0], { vmId: "vm-1", adapter: "x" });
});

// Guards against servers that can't report any more, because another one has named the highest fencing token of a report.
test("a report may name the fencing tokens that follow the highest counted one", async (t) => {
    const { url, reports } = await startServer(t);
    for (const highestFence of [MAX_COUNTED_FENCE, MAX_COUNTED_FENCE + 1_000_000]) {
        const body = createReport({ highestFence });
        const { status } = await send(`${url}/backend/v1/report`, { key: BACKEND_KEY, body });
        t.is(status, 200);
    }
    t.is(reports.length, 2);
});

test("an invalid report is rejected with the name of its field", async (t) => {
    const { url, reports } = await startServer(t, { limits: { reportBytes: 2_000 } });
    for (const { field, changes } of badReports) {
        const body = createReport(changes);
        const { status, json } = await send(`${url}/backend/v1/report`, { key: BACKEND_KEY, body });
        t.is(status, 422, field);
        t.deepEqual(json.fields.map((issue: { field: string; }) => issue.field), [field]);
    }
    const large = createReport({ cachedModels: Array(200).fill("a-long-model-name") });
    t.is((await send(`${url}/backend/v1/report`, { key: BACKEND_KEY, body: large })).status, 413);
    t.is((await send(`${url}/backend/v1/report`, { key: "other", body: createReport() })).status, 401);
    t.is(reports.length, 0);
});

// Guards against failures on arbitrary input from a backend server or a network scanner.
test("arbitrary JSON documents are accepted or rejected without a server error", async (t) => {
    const { url, reports } = await startServer(t);
    const fields = fc.dictionary(fc.constantFrom(...Object.keys(createReport())), fc.jsonValue());
    const bodies = fc.oneof(fc.json(), fields.map((changes) => JSON.stringify(createReport(changes))));
    await fc.assert(
        fc.asyncProperty(bodies, async (body) => {
            const before = reports.length;
            const { status } = await send(`${url}/backend/v1/report`, { key: BACKEND_KEY, body });
            return [400, 422].includes(status) ? reports.length === before : status === 200;
        }),
        { numRuns: 200 },
    );
    t.is((await send(`${url}/health/live`)).status, 200);
});

test("readiness reflects the state of the daemon, and liveness does not", async (t) => {
    const { url, setReadiness } = await startServer(t);
    t.is((await send(`${url}/health/ready`)).status, 200);
    setReadiness({ ready: false, reason: "the daemon is draining" });
    const response = await send(`${url}/health/ready`);
    t.is(response.status, 503);
    t.is(response.json.reason, "the daemon is draining");
    t.is((await send(`${url}/health/live`)).status, 200);
});

test("health checks require the platform key if one is configured", async (t) => {
    const { url } = await startServer(t, { platformKey: "platform-key" });
    t.is((await send(`${url}/health/ready`)).status, 401);
    t.is((await send(`${url}/health/ready`, { key: "platform-key" })).status, 200);
});

test("a draining daemon rejects new requests as not run", async (t) => {
    const { url, admission } = await startServer(t);
    admission.close();
    const response = await send(`${url}/v1/models`, { key: "any" });
    t.like(response.json, { title: "draining", status: 503, verdict: "notRun" });
});
