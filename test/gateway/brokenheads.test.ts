import { Verdict } from "@greengage/base";
import test from "ava";
import { eventOf, startServer, streamEvents } from "./fixtures.ts";
import { brokenOff, Finish, startRawServer } from "./rawserver.ts";
import { allKinds, createFixture, repeatableKinds, requestFields, RequestKind } from "./requestkinds.ts";

const EVENTS = [1, 2, 3, 4].map(eventOf).join("");
const HEAD = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n";
const WHOLE = `${HEAD}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`;

/** Kinds of request that use a connection again. */
const reusingKinds = allKinds.filter((kind) => kind !== RequestKind.Unsafe);

for (const finish of [Finish.End, Finish.Reset]) {
    for (const close of ["", "connection: close\r\n"]) {
        const heads = brokenOff(HEAD + close, EVENTS);
        for (const [place, text] of Object.entries(heads)) {
            const title = `${place}${close === "" ? "" : " with a close header"} (${finish})`;
            // Guards against a 200 with an empty or short body that is framed as whole.
            test.serial(`no kind of request gets a success when a response on a new connection breaks off ${title}`, async (t) => {
                for (const kind of allKinds) {
                    const server = await startRawServer(t, { text, finish });
                    const response = await createFixture(t, [server]).send(requestFields[kind]);
                    t.false(response.isEnded, kind);
                    t.is(response.isDestroyed, response.hasStarted, kind);
                    t.is(response.error?.verdict, Verdict.MayHaveRun, kind);
                    t.true(server.receivedIds.length <= (repeatableKinds.has(kind) ? 2 : 1), kind);
                }
            });

            // Guards against state of an earlier response that makes a broken one look complete.
            test.serial(`no kind of request gets a success when a response on a used connection breaks off ${title}`, async (t) => {
                for (const kind of reusingKinds) {
                    const server = await startRawServer(t, { firstText: WHOLE, text, finish });
                    const { send } = createFixture(t, [server]);
                    let response = await send(requestFields[kind]);
                    t.is(response.error, undefined, kind);
                    t.is(response.text, EVENTS, kind);
                    // A connection takes another request a moment after its response.
                    while (server.receivedIds.length === server.connectionCount) {
                        response = await send(requestFields[kind]);
                    }
                    t.false(response.isEnded, kind);
                    t.is(response.isDestroyed, response.hasStarted, kind);
                    t.is(response.error?.verdict, Verdict.MayHaveRun, kind);
                }
            });

            test.serial(`repeatable requests are served by another server when a response on a used connection breaks off ${title}`, async (t) => {
                for (const kind of reusingKinds.filter((candidate) => repeatableKinds.has(candidate))) {
                    const broken = await startRawServer(t, { firstText: WHOLE, text, finish });
                    const sound = await startServer(t, streamEvents(4));
                    const { send } = createFixture(t, [broken, sound]);
                    // Requests may go to either server until the broken one has failed.
                    for (let count = 0; count < 4; count += 1) {
                        const response = await send(requestFields[kind]);
                        t.is(response.text, EVENTS, kind);
                        // Only a third group could confirm that no event is missing after the last one.
                        const isUnconfirmed = kind === RequestKind.Stream && place === "before the last chunk"
                            && sound.received.some((headers) => headers["x-last-event"] === "4");
                        t.is(response.isEnded, !isUnconfirmed, kind);
                        if (isUnconfirmed) {
                            break;
                        }
                    }
                }
            });
        }
    }
}
