/** Builds the launcher `target/greengage.cjs` for the users' platform, its bundle, and the V8 code cache of the bundle. */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import { bundle } from "./bundle.ts";

const LAUNCHER_PATH = "target/greengage.cjs";

/** Node.js options in the deploy file. V8 rejects a code cache that was created with other options. */
const nodeOptions = (): string[] => {
    const [, options = ""] = /^run = "node (.*?)\s*target\//m.exec(readFileSync("deploy/system.toml", "utf8"))
        ?? [];
    return options.split(" ").filter((option) => option !== "");
};

mkdirSync("target", { recursive: true });
await bundle("scripts/launcher.ts", LAUNCHER_PATH);
await bundle("platform/main.ts", "target/greengage.bundle.cjs", { optimizeStartup: true });
execFileSync(process.execPath, [...nodeOptions(), LAUNCHER_PATH, "--help"], {
    env: { ...process.env, GREENGAGE_WRITE_CODE_CACHE: "1" },
    stdio: ["ignore", "ignore", "inherit"],
});
