import { parseSettings, readSettings, SettingsError } from "@greengage/daemon";
import test, { type ExecutionContext } from "ava";

const validText = `{
    "daemonId": "a-1",
    "zone": "a",
    "http": { "host": "127.0.0.1", "port": 8080 },
    "dataFolder": "/data",
    "daemons": [
        { "daemonId": "a-1", "zone": "a", "host": "10.0.0.1", "port": 7946, "voter": true },
        { "daemonId": "a-2", "zone": "a", "host": "10.0.0.2", "port": 7946 }
    ],
    "keys": { "peers": "12345678", "backendServers": "12345678", "operators": "12345678" },
    "timing": {
        "leaseMs": 2000
    }
}`;

const problemsOf = (t: ExecutionContext, from: string, to: string): readonly string[] => {
    t.true(validText.includes(from));
    const error = t.throws(() => parseSettings("s.json", validText.replace(from, to)), {
        instanceOf: SettingsError,
    });
    return error.problems;
};

// Guards against a settings file that starts a daemon in a state its operator did not mean.
const cases: { title: string; from: string; to: string; problem: string; }[] = [
    {
        title: "a missing comma",
        from: "\"zone\": \"a\",",
        to: "\"zone\": \"a\"",
        problem: "s.json:4: not valid JSON: CommaExpected",
    },
    {
        title: "a mistyped key",
        from: "\"dataFolder\"",
        to: "\"datafoldr\"",
        problem: "s.json:5: datafoldr: found an unknown key; allowed: \"dataFolder\" (the nearest known key)",
    },
    {
        title: "an unknown key deep in the file",
        from: "\"leaseMs\": 2000",
        to: "\"leasMs\": 2000",
        problem:
            "s.json:12: timing.leasMs: found an unknown key; allowed: \"leaseMs\" (the nearest known key)",
    },
    {
        title: "a wrong type",
        from: "\"port\": 8080",
        to: "\"port\": \"8080\"",
        problem: "s.json:4: http.port: found \"8080\"; allowed: a value of type number",
    },
    {
        title: "a number out of range",
        from: "\"leaseMs\": 2000",
        to: "\"leaseMs\": 99999",
        problem: "s.json:12: timing.leaseMs: found 99999; allowed: at most 60000",
    },
    {
        title: "a short key, without showing it",
        from: "\"peers\": \"12345678\"",
        to: "\"peers\": \"abc\"",
        problem: "s.json:10: keys.peers: found a string of 3 characters; allowed: at least 8 characters",
    },
    {
        title: "a daemon that is not in its own list",
        from: "\"daemonId\": \"a-1\",\n    \"zone\"",
        to: "\"daemonId\": \"a-3\",\n    \"zone\"",
        problem: "s.json:2: daemonId: found \"a-3\"; allowed: an id in daemons: a-1, a-2",
    },
    {
        title: "a zone that differs from the list",
        from: "\"zone\": \"a\",\n    \"http\"",
        to: "\"zone\": \"b\",\n    \"http\"",
        problem: "s.json:3: zone: found \"b\"; allowed: \"a\", the zone of this daemon in daemons",
    },
    {
        title: "an id that stands twice",
        from: "\"daemonId\": \"a-2\"",
        to: "\"daemonId\": \"a-1\"",
        problem:
            "s.json:8: daemons.1.daemonId: found \"a-1\"; allowed: a value that no other entry has (entry 0 has it too)",
    },
    {
        title: "an address that stands twice",
        from: "10.0.0.2",
        to: "10.0.0.1",
        problem:
            "s.json:8: daemons.1.port: found \"10.0.0.1:7946\"; allowed: a value that no other entry has (entry 0 has it too)",
    },
    {
        title: "an even number of voters",
        from: "\"port\": 7946 }",
        to: "\"port\": 7946, \"voter\": true }",
        problem:
            "s.json:6: daemons: found 2 voters (a-1, a-2); allowed: an odd number of entries with voter: true",
    },
    {
        title: "a voter without a folder",
        from: "\"dataFolder\": \"/data\",\n",
        to: "",
        problem:
            "s.json:1: dataFolder: found nothing; allowed: a folder on a disk, because this daemon is a voter",
    },
    {
        title: "a lease that is shorter than a grant",
        from: "\"leaseMs\": 2000",
        to: "\"leaseMs\": 1200",
        problem: "s.json:12: timing.leaseMs: found grantMs 1500; allowed: grantMs below leaseMs (1200)",
    },
];

for (const { title, from, to, problem } of cases) {
    test(`settings: ${title} is refused with its line`, (t) => {
        t.true(problemsOf(t, from, to).includes(problem), problemsOf(t, from, to).join("\n"));
    });
}

test("settings: all problems are named at once", (t) => {
    const text = validText.replace("\"port\": 8080", "\"port\": true").replace(
        "\"dataFolder\"",
        "\"folder\"",
    );
    t.is(t.throws(() => parseSettings("s.json", text), { instanceOf: SettingsError }).problems.length, 2);
});

test("settings: a file that is not there is named", (t) => {
    t.throws(() => readSettings("/nowhere.json"), { message: /\/nowhere\.json: the file can't be read/ });
});

// Guards against examples that fall behind the schema.
for (const name of ["entry-vm-with-disk", "entry-vm-without-disk", "control-only"]) {
    test(`settings: examples/${name}.jsonc is valid`, (t) => {
        t.is(readSettings(`examples/${name}.jsonc`).daemons.length, 7);
    });
}
