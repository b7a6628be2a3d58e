import test from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import { createGateway, eventOf, type RequestHandler, startServer, streamEvents } from "./fixtures.ts";

const EVENT_STREAM = "text/event-stream";
/** The first server breaks off after these events. */
const DELIVERED = eventOf(1) + eventOf(2);

const breakOff: RequestHandler = (request, response) => {
    response.writeHead(200, {
        "x-id": request.headers["x-id"],
        "x-signature": "s",
        "content-type": EVENT_STREAM,
    });
    response.write(DELIVERED);
    setTimeout(() => response.destroy(), 20);
};

const answer = (status: number, contentType: string | undefined, body: string): RequestHandler =>
(
    request,
    response,
) => {
    response.writeHead(status, {
        "x-id": request.headers["x-id"],
        "x-signature": "s",
        ...(contentType === undefined ? {} : { "content-type": contentType }),
    }).end(body);
};

/** Responses that don't continue the stream after event 2. */
const foreignResponses: Record<string, RequestHandler> = {
    "plain text": answer(200, "text/plain", "the model is being loaded\n\n"),
    "an event as plain text": answer(200, "text/plain", eventOf(3)),
    "a document": answer(200, "application/json", "{\"error\":\"busy\"}\n\n"),
    "events without a content type": answer(200, undefined, eventOf(3)),
    "another success status": answer(202, EVENT_STREAM, eventOf(3)),
    "the whole stream again": answer(200, EVENT_STREAM, eventOf(1) + eventOf(2) + eventOf(3)),
    "the last event again": answer(200, EVENT_STREAM, eventOf(2) + eventOf(3)),
    "events out of order": answer(200, EVENT_STREAM, eventOf(4) + eventOf(3)),
    "an event without an id": answer(200, EVENT_STREAM, "data: loading\n\n"),
    "text in an event stream": answer(200, EVENT_STREAM, "HTTP/1.1 503 Service Unavailable\r\n\r\nbusy\n\n"),
    "an empty event stream": answer(200, EVENT_STREAM, ""),
    "only comments": answer(200, EVENT_STREAM, ": waiting\n\n"),
    "status 400": answer(400, "text/plain", "bad\n\n"),
    "status 500": answer(500, "text/plain", "failed\n\n"),
    "status 503": answer(503, EVENT_STREAM, eventOf(3)),
};

for (const [title, handler] of Object.entries(foreignResponses)) {
    // Guards against an error text in the middle of a stream, or a stream that ends as complete with it.
    test.serial(`a stream that broke off is never continued with ${title}`, async (t) => {
        const heads = [await startServer(t, breakOff), await startServer(t, handler)];
        const { send } = createGateway(t, { groupHeads: heads });
        const { text, isEnded, isDestroyed } = await send();
        const events = text.slice(DELIVERED.length).replace(": waiting\n\n", "");
        t.true(text.startsWith(DELIVERED));
        t.true(events === "" || (title === "events out of order" && events === eventOf(4)), events);
        t.false(isEnded);
        t.true(isDestroyed);
        t.is(heads[1]?.received.length, 1);
    });

    test.serial(`a stream is resumed at the next group if the first one continues it with ${title}`, async (t) => {
        const heads = [
            await startServer(t, breakOff),
            await startServer(t, handler),
            await startServer(t, streamEvents(4)),
        ];
        const { send } = createGateway(t, {
            groupHeads: heads,
            configuration: { routes: [buildRoute({ maxAttempts: 3 })] },
        });
        const { text, isEnded } = await send();
        t.is(text.replace(": waiting\n\n", ""), DELIVERED + eventOf(3) + eventOf(4));
        t.true(isEnded);
    });
}

const emptyStream = answer(200, EVENT_STREAM, "");

// Guards against a stream that is broken off although its last group failed only after the last event.
for (const maxAttempts of [2, 3]) {
    test.serial(`a stream is complete when two groups have no event after the last one, with ${maxAttempts} attempts`, async (t) => {
        const heads = [
            await startServer(t, breakOff),
            await startServer(t, emptyStream),
            await startServer(t, emptyStream),
        ];
        const { send } = createGateway(t, {
            groupHeads: heads,
            configuration: { routes: [buildRoute({ maxAttempts })] },
        });
        const { text, isEnded } = await send();
        t.is(text, DELIVERED);
        t.true(isEnded);
    });
}

for (
    const [title, lastEventId] of Object.entries({ "a new stream": undefined, "a caller's resumption": "2" })
) {
    // Guards against a short stream that ends as complete because one group had nothing to add.
    test.serial(`${title} goes to another group when the first has no event`, async (t) => {
        const heads = [await startServer(t, emptyStream), await startServer(t, streamEvents(4))];
        const { send, suspicions } = createGateway(t, { groupHeads: heads });
        const { text, isEnded } = await send({ lastEventId });
        t.is(text, [1, 2, 3, 4].filter((id) => id > Number(lastEventId ?? 0)).map(eventOf).join(""));
        t.true(isEnded);
        t.deepEqual(suspicions, []);
    });

    test.serial(`${title} is complete when two groups have no event`, async (t) => {
        const heads = [await startServer(t, emptyStream), await startServer(t, emptyStream)];
        const { text, isEnded, status } = await createGateway(t, { groupHeads: heads }).send({ lastEventId });
        t.is(status, 200);
        t.is(text, "");
        t.true(isEnded);
        t.deepEqual(heads.map(({ received }) => received.length), [1, 1]);
    });
}

// Guards against a request that runs twice although its route doesn't allow it.
test.serial("an empty stream that may not be repeated is a failure", async (t) => {
    const heads = [await startServer(t, emptyStream), await startServer(t, streamEvents(4))];
    const { send } = createGateway(t, {
        groupHeads: heads,
        configuration: { routes: [buildRoute({ canResume: false })] },
    });
    const { error, hasStarted } = await send();
    t.false(hasStarted);
    t.is(error?.verdict, "mayHaveRun");
    t.is(heads[1]?.received.length, 0);
});

// Guards against a second run from the beginning inside of one response.
test.serial("a stream whose events have no ids is not resumed", async (t) => {
    const withoutIds: RequestHandler = (request, response) => {
        response.writeHead(200, {
            "x-id": request.headers["x-id"],
            "x-signature": "s",
            "content-type": EVENT_STREAM,
        });
        response.write("data: piece\n\n");
        setTimeout(() => response.destroy(), 20);
    };
    const heads = [await startServer(t, withoutIds), await startServer(t, streamEvents(2))];
    const { send } = createGateway(t, { groupHeads: heads });
    const { text, isEnded, isDestroyed } = await send();
    t.is(text, "data: piece\n\n");
    t.false(isEnded);
    t.true(isDestroyed);
    t.is(heads[1]?.received.length, 0);
});
