import { Timeline, type TimelineEvent } from "@greengage/base";
import type { DaemonSummary, OperatorApi, OperatorResponse, Settlement, SettleResult } from "@greengage/http";
import type { DrainPlan, GroupView } from "@greengage/protocol";
import type { EditOutcome, TableState } from "@greengage/table";
import test, { type ExecutionContext } from "ava";
import { OPERATOR_KEY, send, type ServerFixture, startServer, type TestResponse } from "./fixture.ts";

const servingGroup = {
    groupId: "g-1",
    model: "assistant",
    state: "serving",
    memberVmIds: ["vm-1", "vm-2"],
} as GroupView;

const createSummary = (daemonId: string, changes: Partial<DaemonSummary> = {}): DaemonSummary => ({
    daemonId,
    zone: "zone-a",
    voter: false,
    controlOnly: false,
    state: "serving",
    ready: true,
    inFlight: 0,
    tableVersion: 1,
    ...changes,
});

const createDrainPlan = (vmId: string, replacement: DrainPlan["replacement"]): DrainPlan => ({
    vmId,
    zone: "zone-a",
    dryRun: true,
    alreadyDrained: false,
    groupId: "g-1",
    model: "assistant",
    replacement,
    replacementVmIds: [],
    inFlight: 0,
    summary: `replacement: ${replacement}`,
});

const createEditApi = (table: TableState): Partial<OperatorApi> => ({
    edit: async (edit) => {
        const command = { type: "table.edit", atMs: 0, ...edit };
        const outcome: EditOutcome = table.apply(table.version + 1, command);
        return { outcome, inForceZones: ["zone-a"], pendingZones: [] };
    },
    catchUp: async () => undefined,
});

interface OperatorFixture extends ServerFixture {
    operate(path: string, body?: object): Promise<TestResponse>;
}

/** Starts a server with one serving group and a peer, `a-2`, that responds with `peerResponses` by path. */
const startOperatorApi = async (
    t: ExecutionContext,
    changes: Partial<OperatorApi> = {},
    peerResponses: Record<string, unknown> = {},
): Promise<OperatorFixture> => {
    const server = await startServer(t, {
        operators: (table) => ({
            daemons: ["a-1", "a-2"].map((daemonId) => ({ daemonId, zone: "zone-a", voter: false })),
            groups: () => [servingGroup],
            summary: () => createSummary("a-1"),
            record: () => undefined,
            forward: async (_, { path }): Promise<OperatorResponse> => {
                if (peerResponses[path] === undefined) {
                    throw new Error("unreachable");
                }
                return { status: 200, body: peerResponses[path] };
            },
            ...createEditApi(table),
            ...changes,
        }),
    });
    const operate = (path: string, body?: object): Promise<TestResponse> =>
        send(`${server.url}/operator/v1/${path}`, { key: OPERATOR_KEY, body });
    return { ...server, operate };
};

const createDeletion = (editId: string, extra: object = {}): object => ({
    editId,
    operator: "thandi",
    changes: [{ kind: "model", name: "assistant", baseVersion: 1 }],
    ...extra,
});

const hazardNames = (response: TestResponse): string[] =>
    response.json.hazards.map(({ hazard }: { hazard: string; }) => hazard);

test("the operator API rejects invalid keys, paths, methods and fields", async (t) => {
    const { url, operate } = await startOperatorApi(t);
    t.is((await send(`${url}/operator/v1/table`, { key: "other" })).status, 401);
    t.is((await operate("nothing")).status, 404);
    t.is((await operate("table/history", {})).json.title, "method-not-allowed");
    const response = await operate("table", { editId: "e", operator: "thandi", changes: [], extra: 1 });
    t.is(response.status, 400);
    t.regex(response.json.detail, /changes: .*extra/);
});

test("a dry run returns the outcome and hazards of an edit and changes nothing", async (t) => {
    const { operate, table } = await startOperatorApi(t);
    const { json } = await operate("table", createDeletion("e-1", { dryRun: true }));
    t.like(json, { dryRun: true, outcome: { status: "accepted" } });
    t.deepEqual(json.hazards.map(({ hazard }: { hazard: string; }) => hazard), ["model-serves"]);
    t.is(table.version, 1);
});

test("deleting a model with serving groups requires force and a reason", async (t) => {
    const { operate, table } = await startOperatorApi(t);
    const rejected = await operate("table", createDeletion("e-1"));
    t.like(rejected.json, { title: "unsafe", status: 409, verdict: "notRun" });
    t.is((await operate("table", createDeletion("e-1", { force: true }))).status, 400);
    t.is(table.version, 1);
    const forced = await operate("table", createDeletion("e-1", { force: true, reason: "model withdrawn" }));
    t.is(forced.json.outcome.status, "accepted");
    t.is(table.row("model", "assistant"), undefined);
});

// Guards against rejecting a resend as unsafe, which would hide that the first attempt was accepted.
test("a resent edit gets its first outcome, even when it has become unsafe", async (t) => {
    const groups: GroupView[] = [];
    const { operate, table } = await startOperatorApi(t, { groups: () => groups });
    const body = {
        editId: "e-1",
        operator: "thandi",
        changes: [{
            kind: "model",
            name: "assistant",
            baseVersion: 1,
            columns: { enabled: false },
        }],
    };
    const first = await operate("table", body);
    groups.push(servingGroup);
    t.deepEqual((await operate("table", body)).json.outcome, first.json.outcome);
    t.is(table.version, 2);
});

test("disabling an organisation with requests in flight on another daemon is rejected", async (t) => {
    const { operate } = await startOperatorApi(t, {}, { "in-flight": { "organisation/umbrella": 3 } });
    const changes = [{ kind: "organisation", name: "umbrella", baseVersion: 1, columns: { enabled: false } }];
    const response = await operate("table", { editId: "e-1", operator: "thandi", changes });
    t.is(response.json.title, "unsafe");
    t.regex(response.json.detail, /organisation\/umbrella has 3 requests in flight/);
});

test("conflicts and invalid cells get different errors", async (t) => {
    const { operate } = await startOperatorApi(t);
    const editOf = (baseVersion: number, columns: object): object => ({
        editId: `e-${baseVersion}`,
        operator: "thandi",
        changes: [{ kind: "model", name: "assistant", baseVersion, columns }],
    });
    t.like((await operate("table", editOf(0, { priority: 3 }))).json, { title: "conflict", status: 409 });
    const invalid = await operate("table", editOf(1, { priority: 30 }));
    t.like(invalid.json, { title: "invalid", status: 422 });
    t.regex(invalid.json.detail, /model\/assistant priority/);
});

test("an import is one edit that changes only rows that differ", async (t) => {
    const { operate, table } = await startOperatorApi(t, { groups: () => [] }, { "in-flight": {} });
    const { json } = await operate("table/export");
    const body = { operator: "thandi", rows: json.rows };
    const same = await operate("table/import", { ...body, editId: "e-1" });
    t.deepEqual(same.json.outcome, { status: "accepted", tableVersion: 1, rows: [] });
    const rows = json.rows.filter((row: { kind: string; }) => row.kind !== "service");
    await operate("table/import", { ...body, rows, editId: "e-2", replace: true });
    t.is(table.row("service", "ledger"), undefined);
    t.is(table.history()[0]?.operator, "thandi");
});

test("draining a VM whose group has no replacement requires force", async (t) => {
    const drained: string[] = [];
    const vmDrains: OperatorApi["vmDrains"] = {
        drainVm: async (vmId, { dryRun }) => {
            if (!dryRun) {
                drained.push(vmId);
            }
            const plan = createDrainPlan(vmId, vmId === "vm-1" ? "spare" : "none");
            return vmId === "vm-9" ? undefined : { ...plan, alreadyDrained: drained.includes(vmId) };
        },
        undrainVm: async (vmId) => createDrainPlan(vmId, "notNeeded"),
    };
    const { operate } = await startOperatorApi(t, { vmDrains });
    const request = { target: "vm", operator: "thandi" };
    t.deepEqual(hazardNames(await operate("drain", { ...request, id: "vm-2" })), ["no-replacement"]);
    t.is((await operate("drain", { ...request, id: "vm-2", dryRun: true })).status, 200);
    t.is((await operate("drain", { ...request, id: "vm-1" })).status, 200);
    t.deepEqual(drained, ["vm-1"]);
    t.is((await operate("drain", { ...request, id: "vm-2", force: true, reason: "smoke" })).status, 200);
    // A resend without force is accepted, because the VM is already drained.
    t.is((await operate("drain", { ...request, id: "vm-2" })).status, 200);
    t.is((await operate("undrain", { ...request, id: "vm-2" })).status, 200);
    t.is((await operate("drain", { ...request, id: "vm-9" })).status, 404);
});

test("draining the last ready daemon of a zone is rejected", async (t) => {
    let drains = 0;
    const daemonDrains = { drain: () => void (drains += 1), undrain: () => undefined };
    const request = { target: "daemon", id: "a-1", operator: "thandi" };
    const alone = await startOperatorApi(t, { daemonDrains }, {
        daemon: createSummary("a-2", { ready: false }),
    });
    t.deepEqual(hazardNames(await alone.operate("drain", request)), ["last-daemon-of-zone"]);
    t.is(drains, 0);
    const paired = await startOperatorApi(t, { daemonDrains }, { daemon: createSummary("a-2") });
    t.is((await paired.operate("drain", request)).status, 200);
    t.is(drains, 1);
    t.is((await paired.operate("drain", { ...request, id: "a-9" })).status, 404);
});

test("an action is settled once, and not while its daemon may still record the outcome", async (t) => {
    const settlements: Settlement[] = [];
    const results: SettleResult[] = ["settled", "alreadySettled", "otherOutcome", "unknownKey"];
    const recentAction = {
        organisation: "umbrella",
        key: "new",
        service: "ledger",
        attemptId: "1",
        daemonId: "a-1",
    };
    const actions: OperatorApi["actions"] = {
        listUnknown: () => [{ ...recentAction, atMs: Date.now() }],
        settle: async (settlement) => results[settlements.push(settlement) - 1] ?? "unknownKey",
    };
    const { operate } = await startOperatorApi(t, { actions });
    const body = {
        organisation: "umbrella",
        key: "old",
        outcome: "ran",
        operator: "thandi",
        reason: "booked",
    };
    t.is((await operate("actions")).json.actions.length, 1);
    t.deepEqual(hazardNames(await operate("actions/settle", { ...body, key: "new" })), [
        "action-may-be-running",
    ]);
    t.is((await operate("actions/settle", { ...body, reason: undefined })).status, 400);
    const statuses = [];
    for (let attempt = 0; attempt < results.length; attempt += 1) {
        statuses.push((await operate("actions/settle", body)).status);
    }
    t.deepEqual(statuses, [200, 200, 409, 404]);
    t.is(settlements.length, 4);
});

test("the time line merges the events of all daemons in causal order", async (t) => {
    const hourMs = 3_600_000;
    const peerTimeline = new Timeline({ daemonId: "a-2", nowMs: () => 2 * hourMs });
    const localTimeline = new Timeline({ daemonId: "a-1", nowMs: () => hourMs });
    peerTimeline.record("groups", "cause");
    localTimeline.observe(peerTimeline.tick());
    localTimeline.record("groups", "effect");
    const peerResponses = { "timeline/own?part=groups": peerTimeline.events() };
    const { operate } = await startOperatorApi(t, { timeline: () => localTimeline.events() }, peerResponses);
    const { json } = await operate("timeline?part=groups");
    t.deepEqual(json.events.map((event: TimelineEvent) => event.kind), ["cause", "effect"]);
    const alone = await startOperatorApi(t, { timeline: () => localTimeline.events() });
    t.deepEqual((await alone.operate("timeline")).json.unreachable, ["a-2"]);
    t.is((await alone.operate("timeline?limit=many")).status, 400);
});
