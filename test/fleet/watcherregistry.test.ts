import { expectedEntryCount } from "@greengage/fleet";
import test from "ava";

// Guards against entry daemons that each use the whole retry budget after a change of leader. No entry daemon has
// watched the new leader yet, so its first view counted 1 of 69.
test("a new leader uses the previous leader's count of entry daemons until they have had time to watch", (t) => {
    t.is(expectedEntryCount({ watchingCount: 0, inheritedCount: 69, leadingForMs: 100 }), 69);
    t.is(expectedEntryCount({ watchingCount: 70, inheritedCount: 69, leadingForMs: 100 }), 70);
    t.is(expectedEntryCount({ watchingCount: 12, inheritedCount: 69, leadingForMs: 60_000 }), 12);
    t.is(expectedEntryCount({ watchingCount: 0, inheritedCount: 1, leadingForMs: 60_000 }), 1);
});
