import { expectedEntryCount } from "@greengage/fleet";
import test from "ava";

// Guards against entry daemons that each take the whole retry budget after a change of the leader: the new one has
// heard of none of them (seen on ucf-kiosk-grown trouble-1, one entry daemon in the first view of 69).
test("a new leader counts the former leader's entry daemons until they have had the time to watch", (t) => {
    t.is(expectedEntryCount({ watchingCount: 0, inheritedCount: 69, leadingForMs: 100 }), 69);
    t.is(expectedEntryCount({ watchingCount: 70, inheritedCount: 69, leadingForMs: 100 }), 70);
    t.is(expectedEntryCount({ watchingCount: 12, inheritedCount: 69, leadingForMs: 60_000 }), 12);
    t.is(expectedEntryCount({ watchingCount: 0, inheritedCount: 1, leadingForMs: 60_000 }), 1);
});
