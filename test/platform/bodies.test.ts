import test from "ava";
import { call, callUntil, chatHeaders, startPlatform, wireConfiguration } from "./fixtures.ts";

const OVERSIZED_BODY = "x".repeat(9 * 1024 * 1024);

// Guards against a process that ends, with all requests in progress, because of one request.
test.serial("a body above the limit does not end the entry process", async (t) => {
    const { control, callers, readiness, entry } = await startPlatform(t);
    const replaceUrl = `http://${control}/greengageridge/Config.Replace`;
    await callUntil(200, replaceUrl, { method: "POST", body: JSON.stringify(wireConfiguration(1)) });
    await callUntil(200, `http://${readiness}/greengageridge/ready`);
    const rejected = await call(`http://${callers}/chat/1`, {
        method: "POST",
        body: OVERSIZED_BODY,
        headers: chatHeaders("r1"),
    });
    t.is(rejected?.status, 413);
    t.is((await call(`http://${callers}/nowhere`, { headers: chatHeaders("r2") }))?.status, 404);
    t.is(entry.exitCode ?? undefined, undefined);
});
