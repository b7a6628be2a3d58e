import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import { waitFor } from "@greengage/faults";
import type { ServiceCall } from "@greengage/routing";
import test from "ava";
import { connect } from "node:net";
import { request } from "undici";
import {
    CALLER_KEY,
    chatBody,
    createEvent,
    openConnection,
    requestHead,
    send,
    sendRaw,
    startServer,
} from "./fixture.ts";

test("a chat without streaming returns a completion in the OpenAI format", async (t) => {
    const { url } = await startServer(t);
    const { status, json } = await send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body: chatBody() });
    t.is(status, 200);
    t.like(json, { id: "chat-1", object: "chat.completion", model: "assistant", usage: { total_tokens: 2 } });
    t.is(typeof json.created, "number");
    t.deepEqual(json.choices[0].message, { role: "assistant", content: "Hello" });
    t.is(json.choices[0].finish_reason, "stop");
});

test("a streamed chat ends with the [DONE] marker", async (t) => {
    const { url } = await startServer(t);
    const body = chatBody({ stream: true });
    const { headers, text } = await send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body });
    t.is(headers["content-type"], "text/event-stream");
    t.true(text.endsWith("data: [DONE]\n\n"));
});

interface RejectedRequest {
    path?: string;
    method?: "GET" | "PUT";
    key?: string;
    headers?: Record<string, string>;
    body?: object | string;
}

/** Registers a test that a request is rejected with a specific status, title and detail. */
const testRejection = (title: string, request: RejectedRequest, error: string, detail: RegExp): void => {
    test(`${title} is rejected with a specific error, and the daemon keeps serving`, async (t) => {
        const { url } = await startServer(t, { limits: { bodyBytes: 4_000 } });
        const { path = "/v1/chat/completions", key = CALLER_KEY, body = chatBody(), ...rest } = request;
        const response = await send(url + path, { ...rest, key, body });
        t.is(response.headers["content-type"], "application/problem+json");
        t.is(`${response.status} ${response.json.title}`, error);
        t.like(response.json, { status: response.status, verdict: "notRun" });
        t.regex(response.json.detail, detail);
        t.is((await send(`${url}/v1/models`, { key: CALLER_KEY })).status, 200);
    });
};

const LEDGER_PATH = "/v1/services/ledger";

testRejection("an empty key", { key: "" }, "401 unauthorized", /not of the form/);
testRejection("a wrong key", { key: "other" }, "401 unauthorized", /API key is unknown/);
testRejection("a disabled organisation", { key: "closed-key" }, "401 unauthorized", /closed is disabled/);
testRejection("malformed JSON", { body: "{\"model\":" }, "400 bad-request", /not JSON/);
testRejection("a body that is not an object", { body: "[1]" }, "400 bad-request", /JSON object/);
testRejection(
    "the reserved field of resumed requests",
    {
        body: {
            model: "assistant",
            messages: [{ role: "user", content: "x" }],
            greengage: { resume_text: "paid", resume_tokens: 1 },
        },
    },
    "400 bad-request",
    /^greengage: is reserved/,
);
testRejection("a missing field", { body: { model: "assistant" } }, "400 bad-request", /^messages: /);
testRejection(
    "an unknown model",
    { body: chatBody({ model: "oracle" }) },
    "404 not-found",
    /unknown model "oracle"/,
);
testRejection(
    "an unsupported media type",
    { headers: { "content-type": "text/plain" } },
    "415 unsupported-media-type",
    /"text\/plain"/,
);
testRejection("an unsupported method", { method: "PUT" }, "405 method-not-allowed", /allowed: POST/);
testRejection("an unknown path", { path: "/v1/embeddings" }, "404 not-found", /no path/);
testRejection(
    "an invalid deadline",
    { headers: { "x-deadline-ms": "soon" } },
    "400 bad-request",
    /x-deadline-ms/,
);
testRejection(
    "a deadline above the maximum",
    { headers: { "x-deadline-ms": "600001" } },
    "400 bad-request",
    /from 1 to 600000/,
);
testRejection("an oversized body", { body: "x".repeat(5_000) }, "413 too-large", /larger than 4000 bytes/);
testRejection(
    "an unknown service",
    { path: "/v1/services/bank/x" },
    "404 not-found",
    /unknown service "bank"/,
);
testRejection(
    "an action without an idempotency key",
    { path: `${LEDGER_PATH}/sales` },
    "400 bad-request",
    /Idempotency-Key/,
);
testRejection(
    "an encoded slash",
    { path: `${LEDGER_PATH}/x%2f..%2forders` },
    "400 bad-request",
    /must not contain/,
);

// HTTP clients normalise dot segments of URLs, so this needs a raw request.
test("a path that leaves the service's prefix is rejected", async (t) => {
    const { port } = await startServer(t);
    const { text } = await sendRaw(
        port,
        requestHead("/v1/services/ledger/%2e%2e/orders", ["connection: close"]),
    );
    t.regex(text, /^HTTP\/1\.1 400 .*must not contain/s);
});

test("a chunked body that exceeds the limit is rejected", async (t) => {
    const { port } = await startServer(t, { limits: { bodyBytes: 100 } });
    const headers = ["content-type: application/json", "transfer-encoding: chunked"];
    const { text } = await sendRaw(
        port,
        requestHead("/v1/chat/completions", headers),
        `ff\r\n${"x".repeat(255)}\r\n`,
    );
    t.regex(text, /^HTTP\/1\.1 413 /);
});

test("slow headers, slow bodies, large headers and malformed requests get specific errors", async (t) => {
    const { port, url } = await startServer(t, {
        limits: { headersMs: 300, bodyMs: 300, headerBytes: 2_048 },
    });
    const slowHead = await sendRaw(port, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n");
    t.regex(slowHead.text, /^HTTP\/1\.1 408 .*"title":"slow-request"/s);
    const headers = ["content-type: application/json", "content-length: 50"];
    const slowBody = await sendRaw(port, requestHead("/v1/chat/completions", headers), "{");
    t.regex(slowBody.text, /^HTTP\/1\.1 408 .*the body did not arrive within 300 ms/s);
    const large = await sendRaw(port, requestHead("/v1/chat/completions", [`x-pad: ${"p".repeat(4_000)}`]));
    t.regex(large.text, /^HTTP\/1\.1 431 .*"title":"headers-too-large"/s);
    const broken = await sendRaw(port, "BROKEN\r\n\r\n");
    t.regex(broken.text, /^HTTP\/1\.1 400 .*not valid HTTP/s);
    t.is((await send(`${url}/v1/models`, { key: CALLER_KEY })).status, 200);
});

// Guards against an action that is answered as not run, and runs: it was sent before its caller could know of the answer, or
// reached a daemon that was frozen.
test("a request that arrives on a connection after its 408 is not run", async (t) => {
    const { port, actionKeys } = await startServer(t, { limits: { headersMs: 300 } });
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    t.teardown(() => void socket.destroy());
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => undefined).on("end", () => socket.end());
    const answer = await new Promise<string>((resolve) =>
        socket.once("data", (data) => resolve(String(data)))
    );
    t.regex(answer, /^HTTP\/1\.1 408 .*"verdict":"notRun"/s);
    const body = "{}";
    const headers = [
        "idempotency-key: k1",
        "content-type: application/json",
        `content-length: ${body.length}`,
    ];
    socket.write(requestHead("/v1/services/ledger/orders", headers) + body);
    await closed;
    t.deepEqual(actionKeys, []);
});

test("a failure after the start of a stream sends an error event without the [DONE] marker", async (t) => {
    const { url, logLines } = await startServer(t, {
        dispatcher: {
            generate: async (_, sink) => {
                sink.write(createEvent("Hel"));
                throw new GreengageError("the group is lost", {
                    code: ErrorCode.BackendFailed,
                    verdict: Verdict.MayHaveRun,
                });
            },
        },
    });
    const body = chatBody({ stream: true });
    const { status, text } = await send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body });
    t.is(status, 200);
    t.false(text.includes("[DONE]"));
    const problem = JSON.parse(/event: error\ndata: (.*)\n\n$/.exec(text)?.[1] ?? "{}") as object;
    t.like(problem, { title: "backend-failed", status: 502, verdict: "mayHaveRun" });
    t.like(logLines, [{ fields: { code: "backend-failed", reason: "the group is lost" } }]);
});

test("a caller that disconnects aborts the work", async (t) => {
    let isAborted = false;
    const { url, admission } = await startServer(t, {
        dispatcher: {
            generate: async (_, sink, signal) => {
                sink.write(createEvent("Hel"));
                await new Promise((resolve) => signal.addEventListener("abort", resolve));
                isAborted = true;
                throw signal.reason;
            },
        },
    });
    const response = await request(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${CALLER_KEY}`, "content-type": "application/json" },
        body: JSON.stringify(chatBody({ stream: true })),
    });
    t.deepEqual(admission.inFlightByRow(), { "organisation/umbrella": 1, "model/assistant": 1 });
    response.body.on("error", () => undefined).destroy();
    await waitFor("the abort", () => isAborted || undefined);
    await admission.waitUntilIdle();
    t.deepEqual(admission.inFlightByRow(), {});
});

// Guards against a caller that never reads its response and so keeps its request and connection open forever.
test("a request whose caller does not read is aborted at its deadline", async (t) => {
    const { port, admission } = await startServer(t, {
        dispatcher: {
            generate: async (_, sink, signal) => {
                while (!signal.aborted) {
                    sink.write(createEvent("x".repeat(100_000)));
                    await sink.drained();
                }
                throw signal.reason;
            },
        },
    });
    const body = JSON.stringify(chatBody({ stream: true }));
    const socket = connect(port, "127.0.0.1").pause();
    t.teardown(() => socket.destroy());
    const headers = [
        "content-type: application/json",
        "x-deadline-ms: 300",
        `content-length: ${body.length}`,
    ];
    socket.write(requestHead("/v1/chat/completions", headers) + body);
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    await admission.waitUntilIdle();
    t.is(admission.inFlight, 0);
});

test("a request ends at the deadline that its caller set", async (t) => {
    const { url } = await startServer(t, {
        dispatcher: {
            generate: (_request, _sink, signal) =>
                new Promise((_, reject) =>
                    signal.addEventListener("abort", () => reject(signal.reason as Error))
                ),
        },
    });
    const headers = { "x-deadline-ms": "100" };
    const response = await send(`${url}/v1/chat/completions`, { key: CALLER_KEY, headers, body: chatBody() });
    t.like(response.json, { title: "timeout", status: 504, verdict: "mayHaveRun" });
    t.is(response.json.detail, "no complete response within 100 ms");
});

test("requests above the limits of the daemon and of a connection are rejected before they run", async (t) => {
    let release: () => void = () => undefined;
    const released = new Promise<void>((resolve) => {
        release = resolve;
    });
    const { url, port, admission } = await startServer(t, {
        limits: { concurrentRequests: 3, concurrentPerConnection: 2 },
        dispatcher: { generate: () => released },
    });
    const chat = requestHead("/v1/chat/completions", [
        "content-type: application/json",
        `content-length: ${JSON.stringify(chatBody()).length}`,
    ]) + JSON.stringify(chatBody());
    const pipelined = sendRaw(port, chat, chat, chat.replace("host", "connection: close\r\nhost"));
    await waitFor("two requests in flight", () => admission.inFlight === 2 || undefined);
    const third = send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body: chatBody() });
    await waitFor("three requests in flight", () => admission.inFlight === 3 || undefined);
    const fourth = await send(`${url}/v1/models`, { key: CALLER_KEY });
    t.like(fourth.json, { title: "no-capacity", status: 503, verdict: "notRun" });
    t.is(fourth.headers["retry-after"], "1");
    release();
    t.is((await third).status, 200);
    t.regex((await pipelined).text, /429 .*more than 2 requests at once on one connection/s);
});

test("a plain service gets method, path, query and body, and an action its idempotency key", async (t) => {
    const calls: ServiceCall[] = [];
    const { url, actionKeys } = await startServer(t, {
        dispatcher: {
            callService: async (call) => {
                calls.push(call);
                return { status: 200, headers: {}, body: Buffer.from("ok"), verdict: "ran" };
            },
        },
    });
    await send(`${url}/v1/services/ledger/sales/7?day=monday`, { key: CALLER_KEY });
    t.like(calls[0], { method: "GET", path: "/books/sales/7?day=monday", nonIdempotent: false });
    const headers = { "idempotency-key": "sale-1" };
    for (const method of ["POST", "PUT", "PATCH", "DELETE"] as const) {
        const response = await send(`${url}/v1/services/ledger/sales`, {
            method,
            key: CALLER_KEY,
            headers,
            body: {},
        });
        t.is(response.status, 201);
        t.is(response.headers["x-verdict"], "ran");
    }
    t.deepEqual(actionKeys, Array(4).fill("sale-1"));
});

// Guards against a stale key index that still accepts revoked keys.
test("an API key is rejected once an edit has removed it", async (t) => {
    const { url, table } = await startServer(t);
    t.is((await send(`${url}/v1/models`, { key: CALLER_KEY })).status, 200);
    const changes = [{
        kind: "organisation",
        name: "umbrella",
        baseVersion: 1,
        columns: { apiKeyHashes: [] },
    }];
    table.apply(
        2,
        { type: "table.edit", editId: "revoke", operator: "test", atMs: 0, changes } as { type: string; },
    );
    t.is((await send(`${url}/v1/models`, { key: CALLER_KEY })).status, 401);
});

// Guards against requests that run although the response before them has announced the close.
test("a request behind one that was rejected before its body was complete does not run", async (t) => {
    let runCount = 0;
    const dispatcher = {
        generate: async () => {
            runCount += 1;
        },
    };
    const { port } = await startServer(t, { limits: { bodyBytes: 4_000 }, dispatcher });
    const format = (body: string): string =>
        requestHead("/v1/chat/completions", [
            "content-type: application/json",
            `content-length: ${body.length}`,
        ]) + body;
    const rejected = format("x".repeat(5_000));
    const connection = await openConnection(t, port);
    connection.write(rejected.slice(0, -10));
    await waitFor("a response", () => connection.text().includes("413") || undefined);
    connection.write(rejected.slice(-10) + format(JSON.stringify(chatBody())));
    const text = await connection.closed;
    t.is(text.match(/HTTP\/1\.1 /g)?.length, 1);
    t.regex(text, /connection: close/i);
    t.is(runCount, 0);
});
