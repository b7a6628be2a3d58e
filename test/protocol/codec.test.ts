import test from "ava";
import fc from "fast-check";
import { FrameDecoder, FrameEncoder } from "../../packages/protocol/src/codec.ts";

const createRenewalFrame = (viewVersion: number): object => ({
    kind: "call",
    type: "grant.renew",
    callId: viewVersion,
    at: { wallMs: 1_760_000_000_000 + viewVersion, counter: 0 },
    body: { daemonId: "jhb-north-1", zone: "jhb-north", fence: 3, viewVersion, tableVersion: 12, demand: [] },
});

// Guards against a decoder that loses the message structures defined by earlier frames.
test("frames of any structure are decoded unchanged in order", (t) => {
    const encoder = new FrameEncoder();
    const decoder = new FrameDecoder();
    // msgpackr renames fields called __proto__ to prevent prototype pollution. Messages have no such field.
    const fieldName = fc.string().filter((text) => text !== "__proto__");
    const nestedObject = fc.dictionary(fieldName, fc.oneof(fc.nat(), fc.string()));
    const message = fc.dictionary(
        fieldName,
        fc.oneof(fc.integer(), fc.string(), fc.array(fc.nat()), nestedObject),
    );
    fc.assert(
        fc.property(message, (frame) => {
            const plainFrame: unknown = JSON.parse(JSON.stringify(frame));
            const bytes = Buffer.from(encoder.encode(plainFrame));
            return JSON.stringify(decoder.decode(bytes)) === JSON.stringify(plainFrame);
        }),
        { numRuns: 500, seed: 1 },
    );
    t.pass();
});

// Guards against frames that repeat field names: the traffic limit for control messages is 4 KB per second.
test("a frame of a known structure contains no field names", (t) => {
    const encoder = new FrameEncoder();
    encoder.encode(createRenewalFrame(1));
    const bytes = Buffer.from(encoder.encode(createRenewalFrame(2)));
    t.false(bytes.includes("viewVersion"));
    t.true(bytes.includes("jhb-north-1"));
});
