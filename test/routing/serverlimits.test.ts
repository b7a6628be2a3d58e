import { createContext, Random } from "@greengage/base";
import { limitShareOf } from "@greengage/gateway";
import {
    LimitStatement,
    type NamedLimit,
    ServerLimitTable,
    ServerPermits,
    UNSTATED_LIMIT,
} from "@greengage/routing";
import test from "ava";

const SERVER = "e1";
const KEY = "llm";
const WINDOW_MS = 4_000;

const limited = (requestsPerS: number): NamedLimit => ({ statement: LimitStatement.Limited, requestsPerS });
const UNLIMITED: NamedLimit = { statement: LimitStatement.Unlimited };

const createTable = (daemonId = "d1"): ServerLimitTable =>
    new ServerLimitTable(createContext({ daemonId, zone: "z" }));

const createPermits = (
    table: ServerLimitTable,
    { share = 1, random }: { share?: number; random?: Random; } = {},
): ServerPermits =>
    new ServerPermits({
        context: createContext({ daemonId: "d1", zone: "z" }),
        limits: table,
        share: () => share,
        ...(random === undefined ? {} : { initialTokens: () => random.nextFloat() }),
    });

const observe = (table: ServerLimitTable, limit: NamedLimit, atMs: number, sentAtMs = atMs): void =>
    table.observe({ serverId: SERVER, limit, sentAtMs, receivedAtMs: atMs });

const query = (priority = 1): Parameters<ServerPermits["delayMs"]>[0] => ({
    placementKey: KEY,
    serverId: SERVER,
    priority,
});

/** Most times within one window. */
const mostInWindow = (timesMs: readonly number[]): number =>
    Math.max(
        ...timesMs.map((fromMs) =>
            timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
        ),
    );

for (const requestsPerS of [0.5, 1.2, 5, 20, 80]) {
    test(`permits for a server that takes ${requestsPerS} requests a second exceed no window under steady demand`, (t) => {
        const table = createTable();
        observe(table, limited(requestsPerS), 0);
        const permits = createPermits(table);
        const sentAtMs: number[] = [];
        for (let nowMs = 0; nowMs < 20_000; nowMs += 7) {
            observe(table, limited(requestsPerS), nowMs);
            const { isGranted, delayMs } = permits.acquire(query(), 300, nowMs);
            if (isGranted) {
                sentAtMs.push(nowMs + delayMs);
            }
        }
        t.true(mostInWindow(sentAtMs) <= 1.5 * requestsPerS * 4 + 5, `${mostInWindow(sentAtMs)}`);
        t.true(sentAtMs.length >= Math.floor(0.9 * requestsPerS * 20), `${sentAtMs.length}`);
    });
}

// Guards against daemons that each send their first request at once when they lose their control daemon together.
test("370 daemons without a control daemon together stay below the limit of a server", (t) => {
    const requestsPerS = 4;
    const daemonCount = 370;
    const random = new Random(7);
    const table = createTable();
    observe(table, limited(requestsPerS), 0);
    const sentAtMs: number[] = [];
    for (let daemon = 0; daemon < daemonCount; daemon += 1) {
        const permits = createPermits(table, { share: 0.5 / daemonCount, random });
        for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
            if (permits.acquire(query(), 0, nowMs).isGranted) {
                sentAtMs.push(nowMs);
            }
        }
    }
    t.true(sentAtMs.length > 0);
    t.true(mostInWindow(sentAtMs) <= requestsPerS * 4, `${mostInWindow(sentAtMs)}`);
});

test("control daemons that are cut off from each other hand out at most one and a half times a limit", (t) => {
    const controllerIds = ["c1", "c2", "c3", "c4", "c5"];
    const sumOf = (partOf: (id: string) => number): number =>
        controllerIds.reduce((sum, id) => {
            const connected = controllerIds.filter((other) => other !== id && partOf(other) === partOf(id));
            return sum + limitShareOf(id, KEY, { controllerIds, connectedIds: new Set(connected) });
        }, 0);
    for (let cut = 0; cut < 2 ** controllerIds.length; cut += 1) {
        t.true(sumOf((id) => (cut >> controllerIds.indexOf(id)) & 1) <= 1.5);
    }
    t.true(sumOf((id) => controllerIds.indexOf(id)) <= 1.5);
    t.is(limitShareOf("c1", KEY, { controllerIds: ["c1"], connectedIds: new Set() }), 1);
});

test("the latest response decides on a limit, and a rate of zero still lets a request find out its end", (t) => {
    const table = createTable();
    observe(table, limited(0), 1_000);
    t.true((table.rateOf(SERVER, 1_000) ?? 0) > 0);
    observe(table, limited(3), 2_000);
    t.is(table.rateOf(SERVER, 2_000), 3);
    // The response to a request from before the limit says nothing about it.
    observe(table, UNLIMITED, 2_100, 1_900);
    observe(table, UNSTATED_LIMIT, 2_200);
    t.is(table.rateOf(SERVER, 2_300), 3);
    observe(table, UNLIMITED, 2_400, 2_300);
    t.true((table.rateOf(SERVER, 2_500) ?? Infinity) < 6);
    t.is(table.rateOf(SERVER, 6_000), undefined);
});

// Guards against a server that has just recovered and gets all the requests that it was spared at once.
test("the rate rises gradually after the end of a limit", (t) => {
    const table = createTable();
    observe(table, limited(4), 0);
    observe(table, UNLIMITED, 1_000);
    const permits = createPermits(table);
    const sentAtMs: number[] = [];
    for (let nowMs = 1_000; nowMs < 2_000; nowMs += 10) {
        if (permits.acquire(query(), 0, nowMs).isGranted) {
            sentAtMs.push(nowMs);
        }
    }
    t.true(sentAtMs.length > 4 && sentAtMs.length <= 16, `${sentAtMs.length}`);
});

test("daemons agree on limits that only one of them has been told", (t) => {
    const first = createTable("d1");
    const second = createTable("d2");
    observe(first, limited(5), 1_000);
    second.merge(first.list(1_500), 1_500);
    t.is(second.rateOf(SERVER, 1_500), 5);
    observe(second, UNLIMITED, 1_800, 1_700);
    first.merge(second.list(2_000), 2_000);
    t.is(first.rateOf(SERVER, 5_000), undefined);
    // An older report doesn't bring the limit back.
    first.merge([{ ...second.list(2_000)[0]!, ageMs: 900, hasEnded: false }], 2_000);
    t.is(first.rateOf(SERVER, 5_000), undefined);
});

test("the most urgent requests get the permits of a limited server first", (t) => {
    const table = createTable();
    observe(table, limited(2), 0);
    const permits = createPermits(table);
    t.true(permits.acquire(query(0), 500, 0).isGranted);
    t.false(
        permits.acquire(query(5), 2_000, 10).isGranted,
        "a less urgent request waits before an urgent one",
    );
    t.true(permits.acquire(query(0), 1_000, 20).isGranted);
    t.true(permits.acquire(query(5), 2_000, 3_000).isGranted);
});
