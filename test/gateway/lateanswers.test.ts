import test from "ava";
import { Finish, startRawServer } from "./rawserver.ts";
import { allKinds, createFixture, requestFields, RequestKind } from "./requestkinds.ts";

const FIRST_ID = "a1";
const SECOND_ID = "a2";
const HEAD = "HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n";

const eventOf = (requestId: string): string => `id: 1\ndata: ${requestId}\n\n`;
const answerOf = (requestId: string): string => {
    const body = eventOf(requestId);
    return `${HEAD}x-id: ${requestId}\r\ncontent-length: ${
        body.length + (requestId.startsWith("{") ? 2 - requestId.length : 0)
    }\r\n\r\n${body}`;
};
const OWN = answerOf("{id}");
const COPY = answerOf("{firstId}");

/** What arrives for the second request on a connection, which begins with a copy of the first request's answer. */
const lateCopies: Record<string, string> = {
    "a copy of the first answer": COPY,
    "a copy before its own answer": COPY + OWN,
    "two copies before its own answer": COPY + COPY + OWN,
    "the end of a copy before its own answer": COPY.slice(-10) + OWN,
    "a copy without a body before its own answer":
        `${HEAD}x-id: {firstId}\r\ncontent-length: 0\r\n\r\n${OWN}`,
    "an informational copy before its own answer":
        `HTTP/1.1 103 Early Hints\r\nx-id: {firstId}\r\n\r\n${COPY}${OWN}`,
};

/** Kinds of request that use a connection again. */
const reusingKinds = allKinds.filter((kind) => kind !== RequestKind.Unsafe);

for (const [title, text] of Object.entries(lateCopies)) {
    for (const kind of reusingKinds) {
        // Guards against a caller that gets the answer to another request.
        test.serial(`${kind} never gets the answer to another request when its connection carries ${title}`, async (t) => {
            const server = await startRawServer(t, { firstText: OWN, text, finish: Finish.Open });
            const { send } = createFixture(t, [server]);
            const first = await send({ ...requestFields[kind], requestId: FIRST_ID });
            t.is(first.text, eventOf(FIRST_ID));
            let response = await send({ ...requestFields[kind], requestId: SECOND_ID });
            // A connection takes another request a moment after its response.
            while (server.receivedIds.length === server.connectionCount) {
                response = await send({ ...requestFields[kind], requestId: SECOND_ID });
            }
            t.false(response.text.includes(FIRST_ID));
            t.false(response.isEnded);
            t.is(response.error?.verdict, "mayHaveRun");
        });
    }
}
