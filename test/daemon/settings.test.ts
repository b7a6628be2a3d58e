import { parseSettings, readSettings, SettingsError } from "@greengage/daemon";
import test from "ava";

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

/** Registers a test that valid settings with `from` replaced by `to` have the problem `problem`. */
const testRejection = (title: string, from: string, to: string, problem: string): void => {
    test(`settings: ${title} is rejected with its line number`, (t) => {
        t.true(validText.includes(from));
        const parse = (): unknown => parseSettings("s.json", validText.replace(from, to));
        const { problems } = t.throws(parse, { instanceOf: SettingsError });
        t.true(problems.includes(`s.json:${problem}`), problems.join("\n"));
    });
};

const DUPLICATE = "a value that no other entry has (entry 0 has it too)";

// Guards against a daemon that starts with settings that its operator did not intend.
testRejection("a missing comma", `"zone": "a",`, `"zone": "a"`, "4: not valid JSON: CommaExpected");
testRejection(
    "a mistyped key",
    `"dataFolder"`,
    `"datafoldr"`,
    `5: datafoldr: found an unknown key; allowed: "dataFolder" (the nearest known key)`,
);
testRejection(
    "an unknown nested key",
    `"leaseMs": 2000`,
    `"leasMs": 2000`,
    `12: timing.leasMs: found an unknown key; allowed: "leaseMs" (the nearest known key)`,
);
testRejection(
    "a wrong type",
    ": 8080",
    `: "8080"`,
    `4: http.port: found "8080"; allowed: a value of type number`,
);
testRejection(
    "a number out of range",
    ": 2000",
    ": 99999",
    "12: timing.leaseMs: found 99999; allowed: at most 60000",
);
testRejection(
    "a short key, without showing it",
    `"peers": "12345678"`,
    `"peers": "abc"`,
    "10: keys.peers: found a string of 3 characters; allowed: at least 8 characters",
);
testRejection(
    "a daemon that is missing from daemons",
    `"a-1",\n    "zone"`,
    `"a-3",\n    "zone"`,
    `2: daemonId: found "a-3"; allowed: an id in daemons: a-1, a-2`,
);
testRejection(
    "a zone that differs from its entry in daemons",
    `"a",\n    "http"`,
    `"b",\n    "http"`,
    `3: zone: found "b"; allowed: "a", the zone of this daemon in daemons`,
);
testRejection(
    "a duplicate id",
    `"a-2"`,
    `"a-1"`,
    `8: daemons.1.daemonId: found "a-1"; allowed: ${DUPLICATE}`,
);
testRejection(
    "a duplicate address",
    "0.0.2",
    "0.0.1",
    `8: daemons.1.port: found "10.0.0.1:7946"; allowed: ${DUPLICATE}`,
);
testRejection(
    "an even number of voters",
    `"port": 7946 }`,
    `"port": 7946, "voter": true }`,
    "6: daemons: found 2 voters (a-1, a-2); allowed: an odd number of entries with voter: true",
);
testRejection(
    "a voter without a folder",
    `"dataFolder": "/data",\n`,
    "",
    "1: dataFolder: found nothing; allowed: a folder on a disk, because this daemon is a voter",
);
testRejection(
    "a lease that is shorter than a grant",
    ": 2000",
    ": 1200",
    "12: timing.leaseMs: found grantMs 1500; allowed: grantMs below leaseMs (1200)",
);

test("settings: all problems are reported at once", (t) => {
    const text = validText.replace("\"port\": 8080", "\"port\": true").replace(
        "\"dataFolder\"",
        "\"folder\"",
    );
    t.is(t.throws(() => parseSettings("s.json", text), { instanceOf: SettingsError }).problems.length, 2);
});

test("settings: a missing file is named in the error", (t) => {
    t.throws(() => readSettings("/nowhere.json"), { message: /\/nowhere\.json: the file can't be read/ });
});

// Guards against examples that no longer match the schema.
for (const name of ["entry-vm-with-disk", "entry-vm-without-disk", "control-only"]) {
    test(`settings: examples/${name}.jsonc is valid`, (t) => {
        t.is(readSettings(`examples/${name}.jsonc`).daemons.length, 7);
    });
}
