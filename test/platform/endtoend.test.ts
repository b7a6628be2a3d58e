import { waitFor } from "@greengage/faults";
import test from "ava";
import { once } from "node:events";
import { PlatformEngine } from "./engine.ts";
import { call, callUntil, chatHeaders, startPlatform, wireConfiguration } from "./fixtures.ts";

// Guards against failures that occur only between real processes that speak the published protocol.
test.serial("streams, payments, configurations, drains and metrics work end to end", async (t) => {
    const { control, callers, readiness, metrics, entry, entryLog } = await startPlatform(t);
    const engines = await Promise.all(
        ["e1", "e2", "e3"].map((id) =>
            PlatformEngine.start(t, { id, service: "llm", domain: "d0", control })
        ),
    );
    const ledger = await PlatformEngine.start(t, { id: "l1", service: "ledger", control });
    const replaceUrl = `http://${control}/greengageridge/Config.Replace`;
    const post = (body: string): { method: "POST"; body: string; } => ({ method: "POST", body });

    const document = JSON.stringify(wireConfiguration(7));
    await callUntil(200, replaceUrl, post(document));
    await callUntil(200, `http://${readiness}/greengageridge/ready`);

    const chatUrl = `http://${callers}/chat/1`;
    const chat = await callUntil(200, chatUrl, {
        method: "POST",
        body: "prompt",
        headers: chatHeaders("r1"),
    });
    t.is(chat.text, [1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join(""));
    t.is(chat.headers["greengageridge-response-stamp"], "stamp");
    const ran = engines.flatMap((engine) => engine.executedHeaders).at(-1);
    t.is(ran?.["greengageridge-tenant"], "kiosks", "the organisation is derived from the API key");
    t.is(ran?.["authorization"], undefined, "the API key is not forwarded");
    t.is(ran?.["host"], "a.example");
    t.true(Number(ran?.["greengageridge-deadline-ms"]) <= 8_000);

    const pay = await call(`http://${callers}/pay/1`, {
        method: "POST",
        body: "amount",
        headers: { ...chatHeaders("r2"), "greengageridge-deadline-ms": "2500" },
    });
    t.is(pay?.text, "done");
    t.is(ledger.executedHeaders.length, 1);

    const unauthorized = await call(chatUrl, {
        method: "POST",
        headers: { ...chatHeaders("r3"), authorization: "Bearer x" },
    });
    t.is(unauthorized?.status, 401);
    const unrouted = await call(`http://${callers}/nowhere`, { headers: chatHeaders("r4") });
    t.is(unrouted?.status, 404);

    const describeUrl = `http://${control}/greengageridge/Config.Describe`;
    t.is((await call(describeUrl))?.text, document);
    t.is((await call(replaceUrl, post(JSON.stringify(wireConfiguration(6, { routes: [] })))))?.status, 200);
    t.is((await call(replaceUrl, post(document.slice(0, 200))))?.status, 400);
    const sharedKey = [{ name: "a", api_keys: ["k"] }, { name: "b", api_keys: ["k"] }];
    t.is(
        (await call(replaceUrl, post(JSON.stringify(wireConfiguration(9, { tenants: sharedKey })))))?.status,
        400,
    );
    t.is(
        (await call(describeUrl))?.text,
        document,
        "neither an older nor an invalid configuration takes effect",
    );

    const heartbeatUrl = `http://${control}/greengageridge/Instances.Heartbeat/x`;
    t.is((await call(heartbeatUrl, post("{\"service\":1}")))?.status, 400);

    const text = (await call(`http://${metrics}/metrics`))?.text ?? "";
    t.regex(text, /greengage_gateway_requests \d+/);
    t.regex(text, /greengage_gateway_first_event\{quantile="0.95"\} \d+/);

    for (const engine of engines) {
        engine.eventCount = 100;
        engine.eventGapMs = 50;
    }
    const inFlight = call(chatUrl, { method: "POST", headers: chatHeaders("r5") });
    await callUntil(200, chatUrl, { method: "POST", headers: chatHeaders("r6") });
    const exited = once(entry, "exit");
    entry.kill("SIGTERM");
    await callUntil(503, `http://${readiness}/greengageridge/ready`);
    await waitFor(
        "new connections to be refused",
        async () => await call(chatUrl) === undefined ? true : undefined,
    );
    t.is(entry.exitCode ?? undefined, undefined, "the daemon has not exited while a stream is in flight");
    t.is((await inFlight)?.text.match(/data:/g)?.length, 100, "a stream in flight is completed");
    const [code] = await exited;
    t.is(code, 0);
    const events = entryLog().split("\n").filter((line) => line !== "").map((line) =>
        JSON.parse(line) as { event?: string; }
    );
    for (
        const event of [
            "daemon.start",
            "request.placed",
            "request.answered",
            "request.rejected",
            "daemon.drain",
            "daemon.stop",
        ]
    ) {
        t.true(events.some((line) => line.event === event), `no log line has the event ${event}`);
    }
});
