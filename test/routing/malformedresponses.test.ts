import test from "ava";
import { responsesWithInvalidFields, responsesWithInvalidStatus } from "../gateway/malformedresponses.ts";
import { startRawServer } from "../gateway/rawserver.ts";
import {
    CollectingSink,
    createDispatcher,
    END_MARKER,
    eventOf,
    groupOf,
    neverAborted,
    serviceCallOf,
    serviceViewOf,
    startEngine,
    streamTokens,
} from "./fixtures.ts";

const EVENTS = eventOf("t0 ") + eventOf("t1 ") + END_MARKER;
const FIELDS = "x-request-id: {id}\r\ncontent-type: text/event-stream\r\n";

const malformedResponses = {
    ...responsesWithInvalidStatus(FIELDS, EVENTS),
    ...responsesWithInvalidFields(FIELDS, EVENTS),
};

for (const [title, text] of Object.entries(malformedResponses)) {
    // Guards against a malformed response that reaches the caller of a service.
    test.serial(`a call of a service isn't answered by a response with ${title}`, async (t) => {
        const { directory, dispatcher } = createDispatcher(t);
        const server = await startRawServer(t, { text });
        directory.serviceViews = [serviceViewOf("ledger-1", `http://${server.address}`)];
        for (const method of ["POST", "GET"] as const) {
            t.like(await t.throwsAsync(dispatcher.callService(serviceCallOf(method), neverAborted())), {
                verdict: "mayHaveRun",
            });
            t.true(server.receivedIds.length === 1 || method === "GET");
        }
    });

    // Guards against a malformed response that adds to a stream, or ends it.
    test.serial(`a caller gets the whole stream beside a response with ${title}`, async (t) => {
        const { context, directory, dispatcher, request } = createDispatcher(t);
        const broken = await startRawServer(t, { text });
        const sound = await startEngine(t, streamTokens(2));
        directory.setGroups([
            groupOf({ groupId: "broken", leaderUrl: `http://${broken.address}` }),
            groupOf({ groupId: "sound", leaderUrl: sound.url }),
        ]);
        for (let count = 0; broken.receivedIds.length === 0 && count < 30; count += 1) {
            const sink = new CollectingSink();
            await dispatcher.generate(request(), sink, neverAborted());
            t.is(sink.tokenText, "t0 t1 ");
        }
        t.true(broken.receivedIds.length > 0);
        t.is(context.invariants.violationCount, 0);
    });
}
