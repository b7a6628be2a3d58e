import { waitFor } from "@greengage/faults";
import test from "ava";
import { parseResponse } from "./rawcaller.ts";
import {
    chat,
    pay,
    ROUTE_TIMEOUT_MS,
    setStreamDuration,
    startRequest,
    startServing,
    waitForFinalLines,
    waitUntilComplete,
} from "./serving.ts";

// Guards against requests whose end the log doesn't tell.
test.serial("each request on the entry process has one final line with its outcome", async (t) => {
    const fixture = await startServing(t);
    const answered = await startRequest(fixture, pay("answered", ROUTE_TIMEOUT_MS));
    const refused = await startRequest(
        fixture,
        pay("refused", ROUTE_TIMEOUT_MS).replace("/pay/", "/nowhere/"),
    );
    await Promise.all([answered, refused].map(waitUntilComplete));
    t.deepEqual([answered, refused].map(({ received }) => parseResponse(received)?.status), [200, 404]);

    const incomplete = await startRequest(fixture, pay("incomplete", ROUTE_TIMEOUT_MS).slice(0, -2));
    setStreamDuration(fixture, 10_000);
    fixture.ledger.workMs = 10_000;
    const unanswered = await startRequest(fixture, pay("unanswered", ROUTE_TIMEOUT_MS));
    const streaming = await startRequest(fixture, chat("streaming", ROUTE_TIMEOUT_MS));
    const broken = await startRequest(fixture, chat("broken", ROUTE_TIMEOUT_MS));
    await waitFor(
        "the streams",
        async () =>
            [streaming, broken].every(({ received }) => received.includes("piece 1")) ? true : undefined,
    );
    await waitFor("the payment", async () => fixture.ranIds().includes("unanswered") ? true : undefined);
    for (const caller of [incomplete, unanswered, streaming]) {
        caller.close();
    }
    await waitForFinalLines(fixture, ["incomplete", "unanswered", "streaming"]);
    for (const engine of fixture.engines) {
        engine.crash();
    }
    await waitFor("the end of the connection", async () => broken.isClosed ? true : undefined);

    const ids = ["answered", "refused", "incomplete", "unanswered", "streaming", "broken"];
    const lines = await waitForFinalLines(fixture, ids);
    t.deepEqual(
        Object.fromEntries(lines.map(({ request, event, outcome }) => [request, [event, outcome]])),
        {
            answered: ["request.answered", undefined],
            refused: ["request.rejected", "refused"],
            incomplete: ["request.rejected", "abandoned"],
            unanswered: ["request.abandoned", "abandoned"],
            streaming: ["request.abandoned", "abandoned"],
            broken: ["request.failed", "brokenOff"],
        },
    );
    t.is(lines.length, ids.length);
});
