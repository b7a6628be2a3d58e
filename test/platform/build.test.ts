import test from "ava";
import { execFileSync, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

// Guards against restarts that compile every library again because the V8 code cache is missing or was created with other
// options than those in the deploy file.
test.serial("the built program of each role starts with its code cache", (t) => {
    execFileSync(process.execPath, ["--import=tsx", "scripts/build-platform.ts"]);
    const commands = [...readFileSync("deploy/system.toml", "utf8").matchAll(/^run = "node (.*)"$/gm)];
    t.is(commands.length, 2);
    for (const [, options = ""] of commands) {
        const { status, stderr } = spawnSync(process.execPath, options.split(" "), {
            env: { PATH: process.env.PATH },
            encoding: "utf8",
        });
        t.is(status, 1);
        t.regex(stderr, /GREENGAGERIDGE_SETTINGS is not set/);
        t.notRegex(stderr, /codeCache/);
    }
});
