import { LoadBoard } from "@greengage/fleet";
import test from "ava";

const loadOf = (runningCount: number, ageMs: number) => ({
    groupName: "g",
    runningCount,
    waitingCount: 0,
    ageMs,
});

// Guards against an older load that replaces a newer one on its way through several daemons.
test("the newest load of a group stays, whatever the order of the reports", (t) => {
    const board = new LoadBoard();
    board.take([loadOf(5, 100)], 1_000);
    board.take([loadOf(9, 400)], 1_050);
    t.deepEqual(board.all(1_100), [loadOf(5, 200)]);
    board.take([loadOf(7, 20)], 1_100);
    t.deepEqual(board.all(1_100), [loadOf(7, 20)]);
});

// Guards against loads that go round between daemons for ever.
test("a load is passed on once and forgotten when it is old", (t) => {
    const board = new LoadBoard();
    board.take([loadOf(5, 0)], 0);
    t.deepEqual(board.takeFresh(10), [loadOf(5, 10)]);
    t.deepEqual(board.takeFresh(20), []);
    board.take([loadOf(5, 20)], 20);
    t.deepEqual(board.takeFresh(30), [], "the same load from another daemon is not new");
    t.deepEqual(board.all(5_000), []);
});
