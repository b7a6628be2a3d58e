import test from "ava";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { OPERATOR_KEY, runCli, startDaemon, tempFolder } from "./fixture.ts";

test("table commands edit, export and import the table, and a resend gets the first outcome", async (t) => {
    const { cli, folder } = await startDaemon(t);
    const set = await cli("table", "set", "model/assistant", "vmsPerReplica=2", "--edit-id", "edit-1");
    t.is(set.exitCode, 0, set.stderr);
    t.regex(set.stderr, /edit id: edit-1/);
    t.regex(set.stdout, /in effect in all zones/);
    const again = await cli("table", "set", "model/assistant", "vmsPerReplica=7", "--edit-id", "edit-1");
    t.is(again.exitCode, 0);
    t.is(again.stdout, set.stdout);

    const get = await cli("table", "get", "model/assistant", "--json");
    t.is(JSON.parse(get.stdout).rows[0].columns.vmsPerReplica, 2);
    t.is((await cli("table", "get", "model/oracle")).exitCode, 1);
    t.is((await cli("table", "set", "model/assistant", "priority=3", "--base-version", "0")).exitCode, 3);
    const invalid = await cli("table", "set", "model/assistant", "priority=30");
    t.is(invalid.exitCode, 1);
    t.regex(invalid.stderr, /model\/assistant priority/);

    const file = join(folder, "table.json");
    t.is((await cli("table", "export", "--file", file)).exitCode, 0);
    const table = JSON.parse(readFileSync(file, "utf8")) as { rows: { columns: { priority: number; }; }[]; };
    table.rows.forEach((row) => row.columns.priority = 1);
    writeFileSync(file, JSON.stringify(table));
    const plan = await cli("table", "import", file, "--dry-run");
    t.regex(plan.stdout, /would be accepted/);
    t.is((await cli("table", "import", file)).exitCode, 0);
    const history = await cli("table", "history", "model/assistant", "--json");
    t.deepEqual(
        JSON.parse(history.stdout).entries.map((
            entry: { operator: string; after: { priority: number; }; },
        ) => [
            entry.operator,
            entry.after.priority,
        ]),
        [["thandi", 1], ["thandi", 5]],
    );
});

test("status, groups, actions and timeline print tables and JSON", async (t) => {
    const { cli } = await startDaemon(t);
    const status = await cli("status");
    t.regex(status.stdout, /state +serving, ready/);
    const json = JSON.parse((await cli("status", "--json")).stdout);
    t.like(json, { daemonId: "a-1", state: "serving", reachableZones: ["zone-a"], violationCount: 0 });
    t.true(json.process.rssMb > 0);
    t.regex((await cli("groups")).stdout, /^group +generation +model/);
    t.deepEqual(JSON.parse((await cli("actions", "list", "--json")).stdout), { actions: [] });
    const settle = await cli(
        "actions",
        "settle",
        "umbrella",
        "sale-1",
        "--outcome",
        "ran",
        "--reason",
        "booked",
    );
    t.is(settle.exitCode, 1);
    t.regex(settle.stderr, /no action with this organisation and key/);
    const timeline = await cli("timeline", "--json");
    const kinds = JSON.parse(timeline.stdout).events.map((event: { kind: string; }) =>
        event.kind
    ) as string[];
    t.true(kinds.includes("daemon.started"));
});

test("draining the last daemon of a zone requires force, and undrain returns it to service", async (t) => {
    const { cli } = await startDaemon(t);
    const plan = await cli("drain", "daemon", "a-1", "--dry-run");
    t.is(plan.exitCode, 0);
    t.regex(plan.stdout, /unsafe \(last-daemon-of-zone\)/);
    t.is((await cli("drain", "daemon", "a-1")).exitCode, 3);
    t.is((await cli("drain", "daemon", "a-1", "--force")).exitCode, 2);
    const drained = await cli("drain", "daemon", "a-1", "--force", "--reason", "move to another host");
    t.is(drained.exitCode, 0, drained.stderr);
    t.regex(drained.stdout, /a-1 is drained/);
    t.regex((await cli("status")).stdout, /drained, not ready: the daemon is drained/);
    t.is((await cli("undrain", "daemon", "a-1")).exitCode, 0);
    t.regex((await cli("status")).stdout, /serving, ready/);
});

const usageErrors: [string, string[]][] = [
    ["no command", []],
    ["an unknown command", ["reboot"]],
    ["an unknown subcommand", ["table", "drop"]],
    ["an unknown flag", ["status", "--jsn"]],
    ["a flag without a value", ["status", "--url"]],
    ["an extra argument", ["status", "now"]],
    ["a missing argument", ["check"]],
    ["a cell without a value", ["table", "set", "model/x", "priority"]],
    ["a row without a kind", ["table", "set", "x", "priority=1"]],
    ["an invalid outcome", ["actions", "settle", "o", "k", "--outcome", "maybe", "--reason", "none"]],
    ["an invalid number", ["timeline", "--limit", "all"]],
];

test("usage errors end with exit code 2 and a message", async (t) => {
    const results = await Promise.all(usageErrors.map(([, args]) => runCli(args)));
    for (const [index, [title]] of usageErrors.entries()) {
        t.is(results[index]?.exitCode, 2, `${title}: ${results[index]?.stderr}`);
        t.regex(results[index]?.stderr ?? "", /^greengage: \S/, title);
    }
    t.is((await runCli(["status"], { GREENGAGE_KEY: "" })).exitCode, 2);
});

test("each command has a help text", async (t) => {
    const commands = [
        [],
        ["serve"],
        ["check"],
        ["status"],
        ["table"],
        ["table", "set"],
        ["groups"],
        ["actions"],
        ["drain"],
        ["timeline"],
    ];
    const results = await Promise.all(commands.map((command) => runCli([...command, "--help"])));
    for (const [index, { exitCode, stdout }] of results.entries()) {
        t.is(exitCode, 0);
        t.regex(stdout, new RegExp(`USAGE greengage ?${commands[index]?.join(" ")}`));
    }
});

test("an unreachable daemon, a wrong key and invalid settings end with exit code 1", async (t) => {
    const folder = tempFolder(t);
    const unreachable = await runCli(["table", "set", "model/x", "priority=1", "--base-version", "0"], {
        GREENGAGE_URL: "http://127.0.0.1:1",
    });
    t.is(unreachable.exitCode, 1, unreachable.stderr);
    const { url } = await startDaemon(t);
    const keyFile = join(folder, "key");
    writeFileSync(keyFile, "another-key\n");
    t.is((await runCli(["status", "--url", url, "--key-file", keyFile])).exitCode, 1);
    writeFileSync(keyFile, `${OPERATOR_KEY}\n`);
    t.is((await runCli(["status", "--url", url, "--key-file", keyFile])).exitCode, 0);
    const settingsPath = join(folder, "settings.json");
    writeFileSync(settingsPath, "{\n    \"zone\": 1\n}");
    for (const command of ["check", "serve"]) {
        const result = await runCli([command, settingsPath]);
        t.is(result.exitCode, 1);
        t.regex(result.stderr, /settings\.json:2: zone: found 1; allowed: a value of type string/);
    }
});

// Guards against reporting a lost response as a failed edit, which the operator would then send with a new id.
test("a write whose response is lost ends with exit code 4, and a read with exit code 1", async (t) => {
    const server = createServer((incoming) => incoming.socket.destroy());
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    const env = { GREENGAGE_URL: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
    const write = await runCli(["table", "set", "model/x", "priority=1", "--base-version", "0"], env);
    t.is(write.exitCode, 4);
    t.regex(write.stderr, /edit id: [0-9a-f]{24}\n.*send it again with the same id/s);
    t.is((await runCli(["status"], env)).exitCode, 1);
    const unreachableEnv = { GREENGAGE_URL: "http://127.0.0.1:1" };
    const resend = ["table", "set", "model/x", "priority=1", "--base-version", "0", "--edit-id", "edit-1"];
    t.is((await runCli(resend, unreachableEnv)).exitCode, 4);
});
