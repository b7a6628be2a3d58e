import { BufferRefusal, ByteBuffer, MemoryBudget, PieceCounter } from "@greengage/base";
import test from "ava";

const KIB = 1_024;

test("pieces are collected in order, and a refused one leaves the earlier ones", (t) => {
    const buffer = new ByteBuffer(10, new MemoryBudget(KIB * KIB));
    t.is(buffer.append(Buffer.from("abc")), undefined);
    t.is(buffer.append(Buffer.from("defgh")), undefined);
    t.is(buffer.append(Buffer.from("ijk")), BufferRefusal.TooLarge);
    t.is(buffer.bytes.toString(), "abcdefgh");
    const kept = buffer.bytes;
    buffer.clear();
    buffer.append(Buffer.from("x"));
    t.is(kept.toString(), "abcdefgh");
    t.is(buffer.bytes.toString(), "x");
});

// Guards against small requests that fail because large ones have taken all the memory of the process.
test("the largest buffers are refused first, and small ones still find room", (t) => {
    const budget = new MemoryBudget(1_024 * KIB);
    const large = Array.from({ length: 8 }, () => new ByteBuffer(1_024 * KIB, budget));
    const piece = Buffer.alloc(KIB);
    const refusals = new Set<ByteBuffer>();
    for (let count = 0; count < 1_024; count += 1) {
        for (const buffer of large) {
            if (!refusals.has(buffer) && buffer.append(piece) !== undefined) {
                refusals.add(buffer);
            }
        }
    }
    t.is(refusals.size, large.length);
    t.true(budget.usedBytes < 1_024 * KIB);
    const small = new ByteBuffer(1_024 * KIB, budget);
    t.is(small.append(Buffer.alloc(16 * KIB)), undefined);
    [small, ...large].forEach((buffer) => buffer.clear());
    t.is(budget.usedBytes, 0);
});

// Guards against messages in tiny pieces that take the processor time of all other requests.
test("a message is refused once it has too many tiny pieces", (t) => {
    const tiny = new PieceCounter();
    const usual = new PieceCounter();
    let tinyCount = 0;
    while (tinyCount < 1_000_000 && tiny.add(1)) {
        tinyCount += 1;
    }
    t.is(tinyCount, 65_536);
    t.true(Array.from({ length: 200_000 }, () => usual.add(30)).every((isAccepted) => isAccepted));
});
