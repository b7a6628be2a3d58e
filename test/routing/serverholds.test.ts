import { createContext } from "@greengage/base";
import {
    LEAVING_GRACE_MS,
    MAX_PAUSE_MS,
    parsePause,
    ServerHolds,
    type ServerIncarnation,
} from "@greengage/routing";
import test from "ava";

const createHolds = (): ServerHolds => new ServerHolds(createContext({ daemonId: "d1", zone: "z" }));

const incarnation = (serverId: string, bornMs: number | undefined = 1): ServerIncarnation => ({
    serverId,
    incarnation: bornMs,
});

// Guards against a field that is malformed, repeated or huge and stops all requests, or none.
test("the pause that a rejection asks for is decoded", (t) => {
    t.deepEqual(parsePause("2"), { pauseMs: 2_000 });
    t.deepEqual(parsePause(" 0.25 "), { pauseMs: 250 });
    t.deepEqual(parsePause("0.0001"), { pauseMs: 1 });
    t.is(parsePause("0"), undefined);
    t.is(parsePause("0.0"), undefined);
    t.deepEqual(parsePause(["1", "3.5"]), { pauseMs: 3_500 });
    t.deepEqual(parsePause("4, 1"), { pauseMs: 4_000 });
    t.deepEqual(parsePause("x, 2"), { pauseMs: 2_000 });
    t.deepEqual(parsePause("99999999"), { pauseMs: MAX_PAUSE_MS });
    t.deepEqual(parsePause("9".repeat(400)), { pauseMs: MAX_PAUSE_MS });
    for (const text of ["", "-1", "1e3", "0x10", "NaN", "Infinity", ".5", "5.", "2 s"]) {
        t.deepEqual(parsePause(text), { unreadable: text }, text);
    }
    const date = "Fri, 31 Dec 2027 23:59:59 GMT";
    t.is(parsePause(date)?.pauseMs, undefined);
    t.is(parsePause("x".repeat(1_000))?.unreadable?.length, 40);
});

test("of pauses that overlap the one that ends last holds", (t) => {
    const holds = createHolds();
    const server = incarnation("e1");
    holds.observePause(server, { pauseMs: 3_000 }, 0);
    holds.observePause(server, { pauseMs: 500 }, 1_000);
    t.is(holds.waitMs(server, 1_000), 2_000);
    holds.observePause(server, { pauseMs: 2_500 }, 2_000);
    t.is(holds.waitMs(server, 2_000), 2_500);
    t.true(holds.isHeld(server, 4_499));
    t.false(holds.isHeld(server, 4_500));
    t.deepEqual(holds.earliestReturn([server], 2_000), { waitMs: 2_500, pauseMs: 4_500 });
    t.like(holds.list(4_000)[0], { serverId: "e1", isLeaving: false, sinceAgeMs: 4_000, waitMs: 500 });
    t.deepEqual(holds.list(4_500), []);
});

test("an unreadable pause changes nothing", (t) => {
    const holds = createHolds();
    holds.observePause(incarnation("e1"), { unreadable: "soon" }, 0);
    t.false(holds.isHeld(incarnation("e1"), 1));
    holds.observePause(incarnation("e1"), { pauseMs: 1_000 }, 0);
    holds.observePause(incarnation("e1"), { unreadable: "soon" }, 10);
    t.is(holds.waitMs(incarnation("e1"), 10), 990);
});

// Guards against a server that starts again under its id and gets nothing, and against an old answer that ends a new pause.
test("a pause belongs to one incarnation of a server", (t) => {
    const holds = createHolds();
    holds.observePause(incarnation("e1", 1), { pauseMs: 3_000 }, 0);
    t.false(holds.isHeld(incarnation("e1", 2), 100));
    t.false(holds.isHeld(incarnation("e2", 1), 100));
    t.true(holds.isHeld(incarnation("e1", 1), 100));
});

test("the first of several pauses to end is the earliest return", (t) => {
    const holds = createHolds();
    const servers = ["e1", "e2", "e3"].map((serverId) => incarnation(serverId));
    t.is(holds.earliestReturn(servers, 0), undefined);
    holds.observePause(incarnation("e1"), { pauseMs: 3_000 }, 0);
    holds.observePause(incarnation("e2"), { pauseMs: 1_000 }, 500);
    t.deepEqual(holds.earliestReturn(servers, 600), { waitMs: 900, pauseMs: 1_000 });
    t.deepEqual(holds.earliestReturn(servers, 1_600), { waitMs: 1_400, pauseMs: 3_000 });
    t.is(holds.earliestReturn(servers, 3_000), undefined);
});

test("pauses of many servers use bounded memory", (t) => {
    const holds = createHolds();
    for (let index = 0; index < 10_100; index += 1) {
        holds.observePause(incarnation(`e${index}`), { pauseMs: 5_000 }, 0);
    }
    t.is(holds.list(1).length, 10_000);
    t.true(holds.isHeld(incarnation("e10099"), 1));
    t.false(holds.isHeld(incarnation("e0"), 1));
});

test("a server that leaves is held after a grace period until its process ends", (t) => {
    const holds = createHolds();
    const server = incarnation("e1");
    holds.observeLeaving(server, 100);
    holds.observeLeaving(server, 900);
    t.true(holds.isLeaving(server));
    t.is(holds.waitMs(server, 100 + LEAVING_GRACE_MS - 1), 0);
    t.is(holds.waitMs(server, 100 + LEAVING_GRACE_MS), Infinity);
    t.is(holds.waitMs(server, 1e9), Infinity);
    t.false(holds.isLeaving(incarnation("e1", 2)));
    t.false(holds.isHeld(incarnation("e1", 2), 1e9));
    t.like(holds.list(1e9)[0], { serverId: "e1", isLeaving: true, sinceAgeMs: 1e9 - 100, waitMs: Infinity });
});

// Guards against callers that are told to return to a server that will have gone.
test("a server that leaves during its pause never returns", (t) => {
    const holds = createHolds();
    const server = incarnation("e1");
    holds.observePause(server, { pauseMs: 5_000 }, 0);
    holds.observeLeaving(server, 0);
    t.is(holds.waitMs(server, 0), Infinity);
    t.is(holds.earliestReturn([server], 0), undefined);
    const short = incarnation("e2");
    holds.observePause(short, { pauseMs: 300 }, 0);
    holds.observeLeaving(short, 0);
    t.is(holds.waitMs(short, 100), 200);
    t.is(holds.waitMs(short, 400), 0);
    t.is(holds.waitMs(short, LEAVING_GRACE_MS), Infinity);
});
