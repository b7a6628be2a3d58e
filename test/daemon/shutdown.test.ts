import { sleep } from "@greengage/base";
import { freePorts, waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { OPERATOR_KEY } from "../cli/fixture.ts";
import { BACKEND_KEY, createReport, openConnection, type RawConnection } from "../http/fixture.ts";
import { requestHead, startServingDaemon, waitForDrain } from "./fixture.ts";

const GRACE_MS = 300;
/** Grace period in which requests are sent. */
const LONG_GRACE_MS = 2_000;
const LIMIT_MS = 2_500;
const SETTINGS = { drainGraceMs: GRACE_MS, drainLimitMs: LIMIT_MS };
const SERVICE_PATH = "/v1/services/slow/work";
/** Within the limit, whatever the time at which it is sent. */
const SHORT_DEADLINE = "x-deadline-ms: 1000";

/** Bytes of a request after which its head is incomplete. */
const HALF_HEAD_LENGTH = 20;

const editBody = JSON.stringify({
    editId: "edit-1",
    operator: "thandi",
    changes: [{ kind: "model", name: "late", baseVersion: 0, columns: { vmsPerReplica: 2 } }],
});

const statusLines = (text: string): string[] => text.match(/HTTP\/1\.1 \d+/g) ?? [];

/** Starts a call of the slow service and waits until the service has it. */
const startCall = async (
    t: ExecutionContext,
    { service, port }: Awaited<ReturnType<typeof startServingDaemon>>,
    headers: string[] = [],
): Promise<RawConnection> => {
    const connection = await openConnection(t, port);
    connection.write(requestHead("GET", SERVICE_PATH, { headers }));
    const count = service.receivedCount();
    await waitFor("the call", () => service.receivedCount() > count || undefined);
    return connection;
};

test("a request on a connection that was never used gets an answer after SIGTERM and closes it", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const unused = await openConnection(t, serving.port);
    const call = await startCall(t, serving);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    unused.write(requestHead("GET", SERVICE_PATH));
    const text = await unused.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 503"]);
    t.regex(text, /"verdict":"notRun"/);
    t.regex(text, /retry-after: 1/i);
    t.is(serving.service.receivedCount(), 1);
    serving.service.respond();
    t.deepEqual(statusLines(await call.closed), ["HTTP/1.1 200"]);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("a call whose body is received in part at SIGTERM is run to its end", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const connection = await openConnection(t, serving.port);
    connection.write(
        `${requestHead("PUT", SERVICE_PATH, { bodyBytes: 8, headers: ["idempotency-key: k-1"] })}1234`,
    );
    await sleep(100);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    connection.write("5678");
    await waitFor("the call", () => serving.service.pendingCount() === 1 || undefined);
    serving.service.respond();
    t.deepEqual(statusLines(await connection.closed), ["HTTP/1.1 200"]);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("a call whose body is incomplete at the limit is not left without an answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const connection = await openConnection(t, serving.port);
    connection.write(
        `${requestHead("PUT", SERVICE_PATH, { bodyBytes: 8, headers: ["idempotency-key: k-1"] })}1234`,
    );
    await sleep(100);
    serving.daemon.process.kill("SIGTERM");
    const text = await connection.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 503"]);
    t.regex(text, /"verdict":"notRun"/);
    t.regex(text, /retry-after: 1/i);
    t.is(serving.service.receivedCount(), 0);
});

test("a call in progress at the limit is not left without an answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const call = await startCall(t, serving);
    serving.daemon.process.kill("SIGTERM");
    const text = await call.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 504"]);
    t.regex(text, /"verdict":"mayHaveRun"/);
    t.is((await serving.daemon.exited).exitCode, 1);
});

test("an action in progress at the limit is not left without an answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const connection = await openConnection(t, serving.port);
    connection.write(
        `${requestHead("PUT", SERVICE_PATH, { bodyBytes: 2, headers: ["idempotency-key: k-1"] })}{}`,
    );
    await waitFor("the call", () => serving.service.pendingCount() === 1 || undefined);
    serving.daemon.process.kill("SIGTERM");
    const text = await connection.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 504"]);
    t.regex(text, /"verdict":"mayHaveRun"/);
});

test("a late call whose deadline lies past the limit is not accepted and given up", async (t) => {
    const serving = await startServingDaemon(t, {
        ...SETTINGS,
        drainGraceMs: LONG_GRACE_MS,
        drainLimitMs: 1_000,
    });
    serving.daemon.process.kill("SIGTERM");
    await waitForDrain(serving.daemon);
    const late = await openConnection(t, serving.port);
    late.write(requestHead("GET", SERVICE_PATH, { headers: ["x-deadline-ms: 30000"] }));
    const text = await late.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 503"]);
    t.regex(text, /"verdict":"notRun"/);
    t.is(serving.service.receivedCount(), 0);
});

test("a late call that ends within the limit is answered in the grace period", async (t) => {
    const serving = await startServingDaemon(t, { ...SETTINGS, drainGraceMs: LONG_GRACE_MS });
    serving.daemon.process.kill("SIGTERM");
    await waitForDrain(serving.daemon);
    const late = await startCall(t, serving, [SHORT_DEADLINE]);
    serving.service.respond();
    t.deepEqual(statusLines(await late.closed), ["HTTP/1.1 200"]);
    t.is((await serving.daemon.exited).exitCode, 0);
});

// Guards against late actions, which run at most once, that are taken and cut at the limit.
test("actions that are completed late are answered, or rejected and not run", async (t) => {
    const serving = await startServingDaemon(t, { ...SETTINGS, drainGraceMs: LONG_GRACE_MS });
    const sendHalf = async (
        key: string,
        deadline: string[],
    ): Promise<{ connection: RawConnection; rest: string; }> => {
        const connection = await openConnection(t, serving.port);
        const headers = [`idempotency-key: ${key}`, ...deadline];
        const text = `${requestHead("PUT", SERVICE_PATH, { bodyBytes: 2, headers })}{}`;
        connection.write(text.slice(0, HALF_HEAD_LENGTH));
        return { connection, rest: text.slice(HALF_HEAD_LENGTH) };
    };
    const short = await sendHalf("short", [SHORT_DEADLINE]);
    const long = await sendHalf("long", []);
    const lateShort = await sendHalf("late-short", [SHORT_DEADLINE]);
    serving.daemon.process.kill("SIGTERM");
    await waitForDrain(serving.daemon);
    short.connection.write(short.rest);
    long.connection.write(long.rest);
    await waitFor("the action", () => serving.service.pendingCount() === 1 || undefined);
    serving.service.respond();
    await sleep(LONG_GRACE_MS + 200);
    lateShort.connection.write(lateShort.rest);
    t.deepEqual(statusLines(await short.connection.closed), ["HTTP/1.1 200"]);
    for (const { connection } of [long, lateShort]) {
        const text = await connection.closed;
        t.deepEqual(statusLines(text), ["HTTP/1.1 503"]);
        t.regex(text, /"verdict":"notRun"/);
    }
    t.is(serving.service.receivedCount(), 1);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("an edit that waits for its zones at SIGTERM does not lose its answer", async (t) => {
    const ports = await freePorts(2);
    const daemons = [
        { daemonId: "a-1", zone: "zone-a", host: "127.0.0.1", port: ports[0], voter: true },
        { daemonId: "b-1", zone: "zone-b", host: "127.0.0.1", port: ports[1], voter: false },
    ];
    const serving = await startServingDaemon(t, { ...SETTINGS, drainLimitMs: 6_000, daemons });
    const edit = await openConnection(t, serving.port);
    const head = requestHead("POST", "/operator/v1/table", { key: OPERATOR_KEY, bodyBytes: editBody.length });
    edit.write(head + editBody);
    await sleep(200);
    serving.daemon.process.kill("SIGTERM");
    const text = await edit.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 200"]);
    t.regex(text, /"status":"accepted"/);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("an edit whose body is received in part at SIGTERM does not lose its answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const edit = await openConnection(t, serving.port);
    const head = requestHead("POST", "/operator/v1/table", { key: OPERATOR_KEY, bodyBytes: editBody.length });
    edit.write(head + editBody.slice(0, 10));
    await sleep(100);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    edit.write(editBody.slice(10));
    t.deepEqual(statusLines(await edit.closed), ["HTTP/1.1 200"]);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("a report whose body is received in part at SIGTERM does not lose its answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const report = JSON.stringify(createReport({ vmId: "vm-2" }));
    const connection = await openConnection(t, serving.port);
    const head = requestHead("POST", "/backend/v1/report", { key: BACKEND_KEY, bodyBytes: report.length });
    connection.write(head + report.slice(0, 10));
    await sleep(100);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    connection.write(report.slice(10));
    t.deepEqual(statusLines(await connection.closed), ["HTTP/1.1 200"]);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("a request whose head is received in part at SIGTERM gets an answer", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const connection = await openConnection(t, serving.port);
    const head = requestHead("GET", SERVICE_PATH);
    connection.write(head.slice(0, 20));
    await sleep(100);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    connection.write(head.slice(20));
    const text = await connection.closed;
    t.deepEqual(statusLines(text), ["HTTP/1.1 503"]);
    t.regex(text, /"verdict":"notRun"/);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("an answer that its caller reads slowly is not cut off by the shutdown", async (t) => {
    const serving = await startServingDaemon(t, { ...SETTINGS, drainLimitMs: 5_000 });
    const call = await startCall(t, serving);
    call.pause();
    const body = Buffer.alloc(15 * 1024 * 1024, "x");
    serving.service.respond(body);
    await sleep(300);
    serving.daemon.process.kill("SIGTERM");
    await sleep(GRACE_MS + 500);
    call.resume();
    const text = await call.closed;
    t.is(text.length - text.indexOf("\r\n\r\n") - 4, body.length);
    t.is((await serving.daemon.exited).exitCode, 0);
});

test("calls that follow each other on one connection do not keep a stopping daemon running", async (t) => {
    const serving = await startServingDaemon(t, SETTINGS);
    const connection = await openConnection(t, serving.port);
    const head = requestHead("GET", "/v1/models");
    connection.write(head);
    await waitFor("a response", () => connection.text().length > 0 || undefined);
    serving.daemon.process.kill("SIGTERM");
    await waitForDrain(serving.daemon);
    connection.write(head);
    const text = await connection.closed;
    t.is(statusLines(text).length, 2);
    t.regex(text, /connection: close/i);
    t.is((await serving.daemon.exited).exitCode, 0);
});
