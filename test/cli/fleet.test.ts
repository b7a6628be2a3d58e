import { Cluster } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import test from "ava";
import { runCli, type RunResult } from "./fixture.ts";

// Guards against reporting an accepted edit as failed because one zone can't be reached.
test("an edit lists zones where it is not in effect, and draining a zone's last ready daemon is rejected", async (t) => {
    const cluster = new Cluster({ daemonsPerZone: { "zone-a": 2, "zone-b": 1, "zone-c": 1 } });
    t.teardown(() => cluster.stop());
    await cluster.start();
    const env = { GREENGAGE_URL: cluster.daemon("zone-a-1").url, GREENGAGE_KEY: cluster.operatorKey };
    const cli = (...args: string[]): Promise<RunResult> => runCli(args, env);
    const frozen = cluster.daemon("zone-c-1");
    frozen.process.freeze();
    const edit = ["table", "set", "model/assistant", "vmsPerReplica=2", "--edit-id", "edit-1", "--json"];
    const first = await cli(...edit);
    t.is(first.exitCode, 0, first.stderr);
    t.like(JSON.parse(first.stdout), { pendingZones: ["zone-c"], outcome: { status: "accepted" } });
    t.regex(first.stderr, /waiting for zone-c-1/);
    t.deepEqual(JSON.parse((await cli("timeline", "--json")).stdout).unreachable, ["zone-c-1"]);
    frozen.process.thaw();
    await cluster.waitUntilReady(frozen);
    await waitFor("the edit in every zone", async () => {
        const { stdout } = await cli(...edit);
        return JSON.parse(stdout).pendingZones.length === 0 || undefined;
    });

    const drained = await cli("drain", "daemon", "zone-a-2");
    t.is(drained.exitCode, 0, drained.stderr);
    t.like(JSON.parse((await cli("status", "--daemon", "zone-a-2", "--json")).stdout), { state: "drained" });
    const last = await cli("drain", "daemon", "zone-a-1");
    t.is(last.exitCode, 3);
    t.regex(last.stderr, /no other daemon of zone zone-a is ready/);
    t.is((await cli("undrain", "daemon", "zone-a-2")).exitCode, 0);
});
