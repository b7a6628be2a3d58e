import test from "ava";
import fc from "fast-check";
import { DeliveredEvents } from "../../packages/routing/src/deliveredevents.ts";
import { EventScanner } from "../../packages/routing/src/eventscanner.ts";

const eventText = fc.constantFrom(
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"é[DONE]\"}}]}",
    ": comment",
    "event: note\r\ndata: {}",
    "data: x",
);

// Guards against truncated or merged events when the network splits the stream at arbitrary positions.
test("every split of a stream yields the same events and the end marker", (t) => {
    const streams = fc.record({
        events: fc.array(eventText, { maxLength: 8 }),
        lineEnd: fc.constantFrom("\n", "\r\n"),
        splitPositions: fc.array(fc.nat(600), { maxLength: 12 }),
    });
    fc.assert(fc.property(streams, ({ events, lineEnd, splitPositions }) => {
        const whole = Buffer.from(events.map((event) => event + lineEnd + lineEnd).join(""));
        const bytes = Buffer.concat([whole, Buffer.from(`data: [DONE]${lineEnd}${lineEnd}`)]);
        const positions = [
            0,
            ...splitPositions.filter((position) => position < bytes.length).sort((a, b) => a - b),
            bytes.length,
        ];
        const scanner = new EventScanner();
        const relayed: Buffer[] = [];
        let count = 0;
        for (const [index, start] of positions.slice(0, -1).entries()) {
            scanner.push(bytes.subarray(start, positions[index + 1]));
            relayed.push(Buffer.from(scanner.events));
            count += scanner.count;
        }
        t.true(scanner.hasEndMarker);
        t.is(count, events.length);
        t.deepEqual(Buffer.concat(relayed), whole);
    }));
});

test("an event larger than 1 MiB is rejected", (t) => {
    const scanner = new EventScanner();
    t.true(scanner.push(Buffer.alloc(1024 * 1024, "x")));
    t.false(scanner.push(Buffer.from("x")));
});

/** The platform asks entry daemons once in this time whether they are ready. */
const READINESS_PERIOD_MS = 1_000;

// Guards against an event in small pieces that keeps a daemon from answering readiness checks: each piece was copied
// together with all earlier ones.
test("an event in small pieces takes little time", (t) => {
    const scanner = new EventScanner();
    const piece = Buffer.alloc(16, "x");
    const startedAtMs = performance.now();
    for (let sizeBytes = 0; sizeBytes < 1024 * 1024; sizeBytes += piece.length) {
        t.true(scanner.push(piece));
    }
    t.true(performance.now() - startedAtMs < READINESS_PERIOD_MS);
    t.true(scanner.push(Buffer.from("\n\n")));
    t.is(scanner.count, 1);
});

// Guards against a sound event that is refused because the piece with its end brings the next ones as well.
test("an event of nearly 1 MiB is completed by a piece with further events", (t) => {
    const scanner = new EventScanner();
    t.true(scanner.push(Buffer.alloc(1024 * 1024 - 10, "x")));
    t.true(scanner.push(Buffer.from(`\n\n${"data: x\n\n".repeat(1_000)}rest`)));
    t.is(scanner.count, 1_001);
    t.true(scanner.hasPartial);
});

test("the summary of delivered events contains text, token count and whether the stream is resumable", (t) => {
    const event = (choice: object): Buffer =>
        Buffer.from(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
    const long = new DeliveredEvents();
    for (let index = 0; index < 3_000; index += 1) {
        long.add(event({ index: 0, delta: { content: "ab" } }));
    }
    const summary = long.summary();
    t.is(summary.tokens, 3_000);
    t.is(summary.text.length, 6_000);
    t.true(summary.isResumable);
    t.false(summary.isFinished);
    long.add(event({ index: 0, delta: {}, finish_reason: "stop" }));
    t.true(long.summary().isFinished);
    const choices = new DeliveredEvents();
    choices.add(event({ index: 1, delta: { content: "ab" } }));
    t.false(choices.summary().isResumable);
});
