/** Builds `target/greengage.cjs`, which runs on the users' platform, with its bundle and the bundle's compiled code. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import { bundle } from "./bundle.ts";

const LAUNCHER_PATH = "target/greengage.cjs";

/** Options of `node` in the deploy file: V8 takes compiled code only under the options that it was made with. */
const nodeOptions = (): string[] => {
    const [, options = ""] = /^run = "node (.*?)\s*target\//m.exec(readFileSync("deploy/system.toml", "utf8"))
        ?? [];
    return options.split(" ").filter((option) => option !== "");
};

mkdirSync("target", { recursive: true });
await bundle("scripts/launcher.ts", LAUNCHER_PATH);
await bundle("platform/main.ts", "target/greengage.bundle.cjs", { startsFast: true });
execFileSync(process.execPath, [...nodeOptions(), LAUNCHER_PATH, "--help"], {
    env: { ...process.env, GREENGAGE_WRITE_CODE_CACHE: "1" },
    stdio: ["ignore", "ignore", "inherit"],
});
