import test from "ava";
import {
    createGateway,
    eventOf,
    type RequestHandler,
    startServer,
    streamEvents,
    writeHead,
} from "./fixtures.ts";

const LAST_EVENT = 4;
const COMPLETE_STREAM = Array.from({ length: LAST_EVENT }, (_, index) => eventOf(index + 1)).join("");
/** Longer than a stream may be silent before it fails over, and shorter than callers wait. */
const SILENCE_MS = 1_800;
/** Longer than any pause of a sound stream, and shorter than a stream may be silent. */
const SHORT_SILENCE_MS = 1_400;

/** Streams all events, with a silence after event `lastBefore`. A resumed stream has no silence. */
const streamWithSilence =
    (lastBefore: number, silenceMs = SILENCE_MS): RequestHandler => (request, response) => {
        if (request.headers["x-last-event"] !== undefined) {
            streamEvents(LAST_EVENT)(request, response);
            return;
        }
        response.setHeader("content-type", "text/event-stream");
        writeHead(request, response);
        response.flushHeaders();
        const events = Array.from({ length: LAST_EVENT }, (_, index) => eventOf(index + 1));
        response.write(events.slice(0, lastBefore).join(""));
        setTimeout(() => response.end(events.slice(lastBefore).join("")), silenceMs);
    };

const breakConnection: RequestHandler = (request) => request.socket.resetAndDestroy();

for (const [title, lastBefore] of [["before its first event", 0], ["between two events", 2]] as const) {
    // Guards against requests that are given up although their engine still works on them.
    test(`a stream that is silent ${title} goes on when no other group can take it`, async (t) => {
        const silent = await startServer(t, streamWithSilence(lastBefore));
        const response = await createGateway(t, { groupHeads: [silent] }).send();
        t.is(response.text, COMPLETE_STREAM);
        t.true(response.isEnded);
        t.is(silent.received.length, 1);
    });

    // Guards against streams that are broken off, and groups that are suspected, for a silence of a sound engine.
    test(`a short silence of a stream ${title} neither ends it nor makes its group suspect`, async (t) => {
        const servers = await Promise.all(
            [1, 2].map(() => startServer(t, streamWithSilence(lastBefore, SHORT_SILENCE_MS))),
        );
        const { send, suspicions, earlyReports } = createGateway(t, { groupHeads: servers });
        const response = await send();
        t.is(response.text, COMPLETE_STREAM);
        t.is(servers.reduce((sum, { received }) => sum + received.length, 0), 1);
        t.is(servers.reduce((sum, { abortedCount }) => sum + abortedCount, 0), 0);
        t.deepEqual(suspicions, []);
        t.true(earlyReports.length > 0, "the controller looks for members that have ended");
    });

    test(`a stream that is silent ${title} goes on when it has no attempt left`, async (t) => {
        const broken = await startServer(t, breakConnection);
        const silent = await Promise.all([1, 2].map(() => startServer(t, streamWithSilence(lastBefore))));
        const { send, suspicions } = createGateway(t, { groupHeads: [broken, ...silent] });
        const response = await send();
        t.is(response.text, COMPLETE_STREAM);
        t.is(broken.received.length, 1);
        t.is(silent.reduce((sum, { received }) => sum + received.length, 0), 1);
        t.true(suspicions.length > 0, "the group is suspected all the same");
    });
}

test("streams of a silent group go on when the retry budget is exhausted", async (t) => {
    const groups = await Promise.all([1, 2].map(() => startServer(t, streamWithSilence(2))));
    const { send } = createGateway(t, { groupHeads: groups, retries: { share: 0, slack: 1 } });
    const responses = await Promise.all([send(), send(), send()]);
    t.deepEqual(responses.map(({ text }) => text), responses.map(() => COMPLETE_STREAM));
    t.is(groups.reduce((sum, { received }) => sum + received.length, 0), 4, "one stream has moved");
});
