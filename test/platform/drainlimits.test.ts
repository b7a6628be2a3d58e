import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import { GRACE_MS, startDrain } from "./drains.ts";
import { parseResponse, parseResponses, type RawCaller } from "./rawcaller.ts";
import {
    assertRejected,
    assertServed,
    chat,
    pay,
    read,
    replaceConfiguration,
    ROUTE_TIMEOUT_MS,
    type ServingFixture,
    setStreamDuration,
    startRequest,
    startServing,
    waitForFinalLines,
    waitUntilComplete,
} from "./serving.ts";

/** Delay of a signal, longer than any pause of the event loop in calm. */
const SIGNAL_DELAY_MS = 700;

/** Pause of a process, longer than any pause of the event loop in calm. */
const PAUSE_MS = 400;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a stream, and waits for its first event. */
const startStream = async (fixture: ServingFixture, id: string): Promise<RawCaller> => {
    const caller = await startRequest(fixture, chat(id, ROUTE_TIMEOUT_MS));
    await waitFor("a stream", async () => caller.received.includes("piece 1") ? true : undefined);
    return caller;
};

const assertNotRun = (t: ExecutionContext, fixture: ServingFixture, id: string): void => {
    t.false(fixture.ranIds().includes(id), id);
};

// Guards against requests that are read and dropped because an earlier response of their connection hadn't announced the close.
test.serial("requests read behind a stream that began before SIGTERM are answered", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 4_400);
    const early = await startStream(fixture, "early");
    const late = await startStream(fixture, "late");
    const drain = startDrain(fixture);
    await drain.at(300);
    early.send(pay("early-next", 6_000));
    await drain.at(3_400);
    late.send(pay("late-next", ROUTE_TIMEOUT_MS));
    t.is((await drain.exited).code, 0);
    await Promise.all([early, late].map(({ closed }) => closed));
    const [earlyStream, earlyNext] = parseResponses(early.received);
    const [lateStream, lateNext] = parseResponses(late.received);
    t.true(earlyStream?.isComplete);
    t.true(lateStream?.isComplete);
    assertServed(t, earlyNext, "early-next");
    assertRejected(t, lateNext, "late-next");
    assertNotRun(t, fixture, "late-next");
});

test.serial("requests read behind a request in progress at SIGTERM are answered", async (t) => {
    const fixture = await startServing(t);
    fixture.ledger.workMs = 800;
    const caller = await startRequest(fixture, pay("first", 4_000));
    await waitFor("a payment", async () => fixture.ranIds().includes("first") ? true : undefined);
    const drain = startDrain(fixture);
    await drain.at(200);
    caller.send(pay("second", 4_000));
    t.is((await drain.exited).code, 0);
    await caller.closed;
    const [first, second] = parseResponses(caller.received);
    t.is(first?.status, 200);
    t.true(first?.isComplete);
    assertServed(t, second, "second");
});

// Guards against requests that are taken too late because the daemon handled SIGTERM late.
test.serial("a daemon that handles SIGTERM late takes no request that it cuts off", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 6_000);
    const running = await startStream(fixture, "running");
    const caller = await fixture.open();
    fixture.entry.kill("SIGSTOP");
    const drain = startDrain(fixture);
    await drain.at(SIGNAL_DELAY_MS);
    fixture.entry.kill("SIGCONT");
    await drain.at(3_150);
    caller.send(chat("late", ROUTE_TIMEOUT_MS));
    const { code, elapsedMs } = await drain.exited;
    await Promise.all([running, caller].map(({ closed }) => closed));
    t.is(code, 0);
    t.true(elapsedMs < GRACE_MS);
    t.true(parseResponse(running.received)?.isComplete, "a stream in flight is completed");
    assertRejected(t, parseResponse(caller.received), "late");
    assertNotRun(t, fixture, "late");
});

// Guards against a drain that counts a pause of the process before SIGTERM as part of the grace period.
test.serial("a daemon that stood still before SIGTERM keeps its streams until the end of the grace period", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 12_000);
    const running = await startStream(fixture, "running");
    await sleep(300);
    fixture.entry.kill("SIGSTOP");
    await sleep(PAUSE_MS);
    const drain = startDrain(fixture);
    fixture.entry.kill("SIGCONT");
    await running.closed;
    const closedAtMs = drain.elapsedMs();
    t.log(`closed ${Math.round(closedAtMs)} ms after SIGTERM`);
    t.true(closedAtMs >= GRACE_MS * 5 / 6);
    const { code, elapsedMs } = await drain.exited;
    t.is(code, 0);
    t.true(elapsedMs < GRACE_MS);
});

test.serial("a request whose body arrives in pieces across the whole grace period is answered", async (t) => {
    const fixture = await startServing(t);
    const completed = await fixture.open();
    const unfinished = await fixture.open();
    const text = (id: string): string => pay(id, ROUTE_TIMEOUT_MS);
    const bodyStart = text("completed").length - "amount".length;
    completed.send(text("completed").slice(0, bodyStart));
    unfinished.send(text("unfinished").slice(0, text("unfinished").length - "amount".length));
    const drain = startDrain(fixture);
    for (const [index, atMs] of [500, 2_000, 3_500, 5_000, 6_500].entries()) {
        await drain.at(atMs);
        completed.send("amount"[index] ?? "");
        unfinished.send("amount"[index] ?? "");
    }
    completed.send("t");
    t.is((await drain.exited).code, 0);
    await Promise.all([completed, unfinished].map(({ closed }) => closed));
    assertRejected(t, parseResponse(completed.received), "completed");
    assertRejected(t, parseResponse(unfinished.received), "unfinished");
    assertNotRun(t, fixture, "completed");
});

// Guards against requests that are cut because the daemon was late when its listener closed.
test.serial("connections opened while the daemon stands still as its listener closes are answered", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 5_000);
    const running = await startStream(fixture, "running");
    const kept = await fixture.open();
    const drain = startDrain(fixture);
    await drain.at(2_400);
    fixture.entry.kill("SIGSTOP");
    const [accepted, other] = await Promise.all([fixture.open(), fixture.open()]);
    kept.send(pay("kept", 2_000));
    accepted.send(pay("accepted", 2_000));
    await drain.at(3_200);
    fixture.entry.kill("SIGCONT");
    await sleep(100);
    other.send(pay("other", 2_000));
    t.is((await drain.exited).code, 0);
    await Promise.all([running, kept, accepted, other].map(({ closed }) => closed));
    t.true(parseResponse(running.received)?.isComplete);
    assertServed(t, parseResponse(kept.received), "kept");
    assertServed(t, parseResponse(accepted.received), "accepted");
    assertServed(t, parseResponse(other.received), "other");
});

test.serial("a stream that is resumed at the end of the grace period is completed", async (t) => {
    const fixture = await startServing(t, { engineCount: 4 });
    setStreamDuration(fixture, 6_000);
    const stream = await startStream(fixture, "stream");
    const drain = startDrain(fixture);
    await drain.at(5_000);
    const heads = fixture.engines.filter(({ executedHeaders }) =>
        executedHeaders.some((headers) => headers["greengageridge-request-id"] === "stream")
    );
    heads.forEach((head) => head.crash());
    t.is((await drain.exited).code, 0);
    await stream.closed;
    t.is(fixture.ranIds().filter((id) => id === "stream").length, 2, "the stream is resumed");
    t.true(parseResponse(stream.received)?.isComplete);
});

// Guards against requests that end without an answer beside a reload of the settings and a change of the configuration.
test.serial("requests beside SIGHUP and changes of the configuration are answered", async (t) => {
    const fixture = await startServing(t);
    setStreamDuration(fixture, 1_200);
    fixture.ledger.workMs = 100;
    const callers = new Map<string, RawCaller>();
    const kept = await fixture.open();
    let keptCount = 0;
    for (let round = 0; round < 12; round += 1) {
        for (const [kind, format] of Object.entries({ chat, pay, read })) {
            const id = `${kind}-${round}`;
            callers.set(id, await startRequest(fixture, format(id, 6_000)));
        }
        kept.send(pay(`kept-${round}`, 6_000));
        keptCount += 1;
        if (round % 3 === 0) {
            fixture.changeSettings({
                seeds: round % 2 === 0 ? [fixture.control] : [fixture.control, "127.0.0.9:9"],
            });
            fixture.entry.kill("SIGHUP");
        }
        if (round % 4 === 1) {
            await replaceConfiguration(fixture, 8 + round, {});
        }
        await sleep(100);
    }
    await Promise.all([...callers.values()].map(waitUntilComplete));
    await waitFor(
        "the answers on the kept connection",
        async () => kept.isClosed || parseResponses(kept.received).length === keptCount ? true : undefined,
    );
    for (const [id, { received }] of callers) {
        t.is(parseResponse(received)?.status, 200, id);
        t.true(parseResponse(received)?.isComplete, id);
    }
    t.deepEqual(parseResponses(kept.received).map(({ status }) => status), Array(keptCount).fill(200));
    await waitForFinalLines(fixture, [...callers.keys()]);
});
