import test from "ava";
import { PlatformEngine } from "./engine.ts";
import { call, callUntil, chatHeaders, startPlatform, wireConfiguration } from "./fixtures.ts";

const MAX_LOG_LINE_CHARACTERS = 2_000;
const ROUND_COUNT = 5;

const registration = {
    service: "ledger",
    address: "127.0.0.1:9",
    zone: "z",
    slots: 18,
    state: "ready",
    sequence: 1,
    born: 1,
};

const nested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);
const withFields = (fields: object): string => JSON.stringify({ ...registration, ...fields });

/** Bodies that name no backend server to use. */
const oddBodies: Record<string, string> = {
    "an array nested 200,000 deep": nested(200_000),
    "a field nested 200,000 deep": withFields({}).replace("\"ledger\"", nested(200_000)),
    "a number too large": withFields({}).replace("18", "1e400"),
    "port 0": withFields({ address: "127.0.0.1:0" }),
    "port 99999": withFields({ address: "127.0.0.1:99999" }),
    "a port of 40 digits": withFields({ address: `127.0.0.1:${"9".repeat(40)}` }),
    "a host with spaces": withFields({ address: "127.0 .0.1:9" }),
    "a host with a path": withFields({ address: "127.0.0.1/a:9" }),
    "a rank of -1": withFields({
        service: "llm",
        domain: "d0",
        group: { name: "odd", epoch: 1, rank: -1, state: "open" },
    }),
    "an epoch at the limit of safe integers": withFields({
        service: "llm",
        domain: "d0",
        group: { name: "odd", epoch: Number.MAX_SAFE_INTEGER, rank: 0, state: "open" },
    }),
    "a service of 200,000 characters": withFields({ service: "s".repeat(200_000) }),
    "no JSON": "\u0000\u0001",
    null: "null",
};

// Guards against one odd entry that ends the daemons or hides the sound servers.
test("odd registrations are rejected and don't keep others from being served", async (t) => {
    const { control, callers, readiness, controlProcess, controlLog, entry } = await startPlatform(t);
    for (const id of ["e1", "e2"]) {
        await PlatformEngine.start(t, { id, service: "llm", domain: "d0", control });
    }
    await PlatformEngine.start(t, { id: "l1", service: "ledger", control });
    await callUntil(200, `http://${control}/greengageridge/Config.Replace`, {
        method: "POST",
        body: JSON.stringify(wireConfiguration(7)),
    });
    await callUntil(200, `http://${readiness}/greengageridge/ready`);
    const chatUrl = `http://${callers}/chat/1`;
    await callUntil(200, chatUrl, { method: "POST", body: "prompt", headers: chatHeaders("first") });
    for (let round = 0; round < ROUND_COUNT; round += 1) {
        for (const [index, [title, body]] of Object.entries(oddBodies).entries()) {
            const url = `http://${control}/greengageridge/Instances.Heartbeat/odd-${index}`;
            t.is((await call(url, { method: "POST", body }))?.status, 400, title);
        }
        const chat = await call(chatUrl, {
            method: "POST",
            body: "prompt",
            headers: chatHeaders(`chat-${round}`),
        });
        t.is(chat?.status, 200);
        const pay = await call(`http://${callers}/pay/1`, {
            method: "POST",
            body: "amount",
            headers: chatHeaders(`pay-${round}`),
        });
        t.is(pay?.text, "done");
    }
    for (const process of [controlProcess, entry]) {
        t.is(process.exitCode ?? process.signalCode ?? undefined, undefined);
    }
    const lines = controlLog().split("\n").filter((line) => line.includes("control.rejected"));
    t.true(lines.length >= Object.keys(oddBodies).length);
    t.true(lines.every(({ length }) => length < MAX_LOG_LINE_CHARACTERS));
});
