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
    "port 0": { ...heartbeat, address: "10.0.0.1:0" },
    "port 65536": { ...heartbeat, address: "10.0.0.1:65536" },
    "port 70000": { ...heartbeat, address: "10.0.0.1:70000" },
    "port 99999": { ...heartbeat, address: "10.0.0.1:99999" },
    "a port of 40 digits": { ...heartbeat, address: `10.0.0.1:${"8".repeat(40)}` },
    "a host with spaces": { ...heartbeat, address: "10.0 .0.1:80" },
    "a host with a path": { ...heartbeat, address: "10.0.0.1/path:80" },
    "a host with credentials": { ...heartbeat, address: "user@10.0.0.1:80" },
    "a host with line breaks": { ...heartbeat, address: "10.0.0.1\r\nhost:80" },
    "unbalanced brackets": { ...heartbeat, address: "[::1:80" },
    "an IP address that doesn't exist": { ...heartbeat, address: "10.0.0.999:80" },
    "a host of 200,000 characters": { ...heartbeat, address: `${"h".repeat(200_000)}:80` },
    "a rank of -1": { ...heartbeat, group: { ...heartbeat.group, rank: -1 } },
    "a rank of 1e9": { ...heartbeat, group: { ...heartbeat.group, rank: 1e9 } },
    "an epoch at the limit of safe integers": {
        ...heartbeat,
        group: { ...heartbeat.group, epoch: Number.MAX_SAFE_INTEGER },
    },
    "a negative epoch": { ...heartbeat, group: { ...heartbeat.group, epoch: -1 } },
    "a group name of 200,000 characters": {
        ...heartbeat,
        group: { ...heartbeat.group, name: "g".repeat(200_000) },
    },
    "a sequence at the limit of safe integers": { ...heartbeat, sequence: Number.MAX_SAFE_INTEGER },
    "a negative sequence": { ...heartbeat, sequence: -1 },
    "a start time at the limit of safe integers": { ...heartbeat, born: Number.MAX_SAFE_INTEGER },
    "a slot count at the limit of safe integers": { ...heartbeat, slots: Number.MAX_SAFE_INTEGER },
    "a zone of 200,000 characters": { ...heartbeat, zone: "z".repeat(200_000) },
    "a service of 200,000 characters": { ...heartbeat, service: "s".repeat(200_000) },
    "a service of 300 characters": { ...heartbeat, service: "s".repeat(300) },
    "a model of 300 characters": { ...heartbeat, models: [{ name: "m".repeat(300) }] },
    "100,000 staged models": { ...heartbeat, staged: Array.from({ length: 100_000 }, () => 1) },
};

for (const [title, value] of Object.entries(invalidHeartbeats)) {
    test(`a registration with ${title} is rejected`, (t) => {
        const error = t.throws(() => decodeHeartbeat("e1", bytes(value)), { instanceOf: GreengageError });
        t.is(error?.code, ErrorCode.BadRequest);
    });
}

for (const serverId of ["", "e 1", "e\r\n1", "\u00e9", "e".repeat(300)]) {
    // Guards against ids that can't be sent in a header.
    test(`a registration of the server id ${JSON.stringify(serverId).slice(0, 20)} is rejected`, (t) => {
        const error = t.throws(() => decodeHeartbeat(serverId, bytes(heartbeat)), {
            instanceOf: GreengageError,
        });
        t.is(error?.code, ErrorCode.BadRequest);
    });
}

// Guards against sound servers that are rejected because of an unusual address.
test("addresses by name, of IPv6 and at the limits of ports are accepted", (t) => {
    for (const address of ["engine-1.zone_a:8080", "[fd00::1]:80", "10.0.0.1:1", "10.0.0.1:65535"]) {
        t.is(decodeHeartbeat("e1", bytes({ ...heartbeat, address })).address, address);
    }
});

const withText = (text: string): Buffer =>
    Buffer.from(JSON.stringify({ ...heartbeat, more: 0 }).replace("0}", `${text}}`));

// Guards against entries that end the process that reads them, and against log lines of their size.
test("nesting of any depth and numbers out of range end in a short error or are ignored", (t) => {
    for (const depth of [10_000, 200_000]) {
        const nested = `${"[".repeat(depth)}${"]".repeat(depth)}`;
        try {
            t.is(decodeHeartbeat("e1", withText(nested)).serverId, "e1");
        }
        catch (error) {
            t.true(error instanceof GreengageError);
        }
    }
    t.is(decodeHeartbeat("e1", withText("1e400")).serverId, "e1");
    const invalid = Object.keys(heartbeat).map((field) => ({
        ...heartbeat,
        [field]: [["x".repeat(10_000)]],
    }));
    for (const value of [...invalid, { ...heartbeat, staged: Array.from({ length: 9_000 }, () => 1) }]) {
        const error = t.throws(() => decodeHeartbeat("e1", bytes(value)), { instanceOf: GreengageError });
        t.true((error?.message.length ?? Infinity) <= 300);
    }
});

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

// Guards against a pause of one server that is taken for one of another, or of a caller's error.
test("only a server's own rejection with status 503 asks for a pause", (t) => {
    const decode = (status: number, field: string | string[] | undefined): object | undefined =>
        platformDialect.decode(status, { "retry-after": field }).pause;
    t.deepEqual(decode(503, "1.5"), { pauseMs: 1_500 });
    t.deepEqual(decode(503, ["1", "2"]), { pauseMs: 2_000 });
    t.deepEqual(decode(503, "soon"), { unreadable: "soon" });
    t.is(decode(503, undefined), undefined);
    for (const status of [200, 421, 429, 500, 502, 504]) {
        t.is(decode(status, "2"), undefined, `${status}`);
    }
});

// Guards against an answer of another server that takes the expected one out of use.
test("a server says with the value 1, in any answer of its own, that it leaves", (t) => {
    const decode = (status: number, field: string | string[] | undefined): object => {
        const { isLeaving, headers } = platformDialect.decode(status, { "server-leaving": field });
        return { isLeaving, isForwarded: "server-leaving" in headers };
    };
    for (const status of [200, 400, 429, 500, 503]) {
        t.deepEqual(decode(status, "1"), { isLeaving: true, isForwarded: false }, `${status}`);
    }
    t.deepEqual(decode(421, "1"), { isLeaving: false, isForwarded: false });
    t.deepEqual(decode(200, ["0", "1"]), { isLeaving: true, isForwarded: false });
    t.deepEqual(decode(200, "0, 1"), { isLeaving: true, isForwarded: false });
    for (const field of [undefined, "", "0", "-1", "10", "true", "1x"]) {
        t.deepEqual(decode(200, field), { isLeaving: false, isForwarded: false }, field);
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
