import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import test from "ava";
import { decodeConfiguration } from "../../platform/configuration.ts";
import { decodeGeneration, platformDialect } from "../../platform/dialect.ts";
import { decodeDeregistration, decodeHeartbeat } from "../../platform/heartbeats.ts";
import { httpStatusOf } from "../../platform/httpstatus.ts";
import { wireConfiguration } from "./fixtures.ts";

const bytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

test("a configuration is decoded from the platform's field names", (t) => {
    const { routes, services, organisations } = decodeConfiguration(bytes(wireConfiguration(7)));
    t.like(routes[0], {
        pathPrefix: "/chat/",
        kind: "stream",
        canResume: true,
        gapTargetMs: 250,
        maxAttempts: 2,
    });
    t.deepEqual(routes[1]?.shares, [{ service: "ledger", weight: 1 }]);
    t.like(services[0]?.engine, { prefillTokensPerMs: 56.1, stepsPerPass: 6, loadsPerS: 5.5 });
    t.deepEqual(services[0]?.engine?.models[0], {
        name: "m",
        vmCount: 2,
        share: 1,
        pace: 1,
        loadMs: 16_000,
        warmLoadMs: 1_600,
    });
    t.deepEqual(organisations, [{ name: "kiosks", apiKeys: ["key"], priority: 1 }]);
});

const heartbeat = {
    service: "llm",
    address: "10.0.0.1:80",
    zone: "z",
    slots: 18,
    state: "ready",
    sequence: 4,
    born: 17,
    domain: "d",
    staged: ["m"],
    models: [{ name: "m", version: 1, adapters: [] }],
    group: { name: "g", epoch: 3, rank: 0, state: "open" },
};

test("a registration is decoded into a report", (t) => {
    t.like(decodeHeartbeat("e1", bytes(heartbeat)), {
        serverId: "e1",
        bornMs: 17,
        fabricDomain: "d",
        stagedModels: ["m"],
        loadedModels: ["m"],
        membership: { groupName: "g", epoch: 3, rank: 0, state: "open" },
    });
    t.is(
        decodeHeartbeat("e1", bytes({ ...heartbeat, domain: undefined, group: null })).membership,
        undefined,
    );
    t.is(decodeDeregistration(Buffer.alloc(0)), undefined);
    t.is(decodeDeregistration(bytes({ born: 17 })), 17);
});

// Guards against malformed registrations from other writers that make a server eligible for requests.
const invalidHeartbeats: Record<string, unknown> = {
    "a missing service": { ...heartbeat, service: undefined },
    "an unknown state": { ...heartbeat, state: "asleep" },
    "an invalid address": { ...heartbeat, address: "somewhere" },
    "a sequence that is not a number": { ...heartbeat, sequence: "4" },
};

for (const [title, value] of Object.entries(invalidHeartbeats)) {
    test(`a registration with ${title} is rejected`, (t) => {
        const error = t.throws(() => decodeHeartbeat("e1", bytes(value)), { instanceOf: GreengageError });
        t.is(error?.code, ErrorCode.BadRequest);
    });
}

test("truncated JSON is rejected", (t) => {
    t.throws(() => decodeHeartbeat("e1", Buffer.from("{")), { instanceOf: GreengageError });
    t.throws(() => decodeConfiguration(Buffer.from("{\"version\":")), { instanceOf: GreengageError });
});

test("the load of an engine and the size of a request are decoded from headers", (t) => {
    const head = platformDialect.decode(200, {
        "greengageridge-engine-load": "3,1,18",
        "greengageridge-response-stamp": "s",
        connection: "close",
        "content-type": "text/plain",
    });
    t.deepEqual(head.load, { runningCount: 3, waitingCount: 1, slotCount: 18 });
    t.deepEqual(head.headers, { "greengageridge-response-stamp": "s", "content-type": "text/plain" });
    t.true(platformDialect.decode(421, {}).isNotRun);
    const work = decodeGeneration({
        "greengageridge-model": "m",
        "greengageridge-token-usage": "1460,80",
        "greengageridge-prompt-prefix": "5c:800,91:410",
    });
    t.deepEqual(work, {
        model: "m",
        promptTokens: 1_460,
        maxAnswerTokens: 80,
        parts: [{ id: "5c", tokens: 800 }, { id: "91", tokens: 410 }],
    });
});

// Guards against a status that guarantees "not run" for a request that may have run.
test("no error of a request that may have run maps to a status that guarantees it has not run", (t) => {
    for (const code of Object.values(ErrorCode)) {
        const status = httpStatusOf(new GreengageError("", { code, verdict: Verdict.MayHaveRun }));
        t.false([408, 421, 429, 503].includes(status), code);
    }
});

// Guards against a malformed limit that stops all requests to a server, or lets all of them through.
test("the limit that a server names is decoded, and unreadable ones leave the former limit in force", (t) => {
    const decode = (limit: string | string[] | undefined, status = 200): object =>
        platformDialect.decode(status, {
            "greengageridge-response-stamp": "stamp",
            ...(limit === undefined ? {} : { "server-limit": limit }),
        }).limit;
    t.deepEqual(decode("3.5"), { statement: "limited", requestsPerS: 3.5 });
    t.deepEqual(decode("0"), { statement: "limited", requestsPerS: 0 });
    t.deepEqual(decode(" 12 "), { statement: "limited", requestsPerS: 12 });
    t.deepEqual(decode(["7", "4.0"]), { statement: "limited", requestsPerS: 4 });
    t.deepEqual(decode("7, x"), { statement: "limited", requestsPerS: 7 });
    t.deepEqual(decode("5", 503), { statement: "limited", requestsPerS: 5 });
    t.deepEqual(decode(undefined), { statement: "unlimited" });
    for (const unreadable of ["-1", "1e9", "NaN", "", "fast", "Infinity"]) {
        t.deepEqual(decode(unreadable), { statement: "unstated" }, unreadable);
    }
    t.deepEqual(decode(undefined, 503), { statement: "unstated" });
    t.deepEqual(decode("5", 421), { statement: "unstated" });
    t.is(platformDialect.decode(200, { "server-limit": "5" }).headers["server-limit"], undefined);
});
