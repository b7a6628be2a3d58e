import test from "ava";
import fc from "fast-check";
import { FrameDecoder, FrameEncoder } from "../../packages/protocol/src/codec.ts";

const renewal = (viewVersion: number): object => ({
    kind: "call",
    type: "grant.renew",
    callId: viewVersion,
    at: { wallMs: 1_760_000_000_000 + viewVersion, counter: 0 },
    body: { daemonId: "jhb-north-1", zone: "jhb-north", fence: 3, viewVersion, tableVersion: 12, demand: [] },
});

// Guards against a decoder that loses the shapes of earlier frames.
test("frames of any shapes survive a connection in order", (t) => {
    const encoder = new FrameEncoder();
    const decoder = new FrameDecoder();
    // msgpackr renames a field called __proto__ to keep prototypes intact; messages have no such field.
    const name = fc.string().filter((text) => text !== "__proto__");
    const nested = fc.dictionary(name, fc.oneof(fc.nat(), fc.string()));
    const value = fc.dictionary(name, fc.oneof(fc.integer(), fc.string(), fc.array(fc.nat()), nested));
    fc.assert(
        fc.property(value, (frame) => {
            const clean: unknown = JSON.parse(JSON.stringify(frame));
            const bytes = Buffer.from(encoder.encode(clean));
            return JSON.stringify(decoder.decode(bytes)) === JSON.stringify(clean);
        }),
        { numRuns: 500, seed: 1 },
    );
    t.pass();
});

// Guards against field names in every frame: control has 4 KB a second.
test("a frame of a known shape carries no field names", (t) => {
    const encoder = new FrameEncoder();
    encoder.encode(renewal(1));
    const bytes = Buffer.from(encoder.encode(renewal(2)));
    t.false(bytes.includes("viewVersion"));
    t.true(bytes.includes("jhb-north-1"));
});
