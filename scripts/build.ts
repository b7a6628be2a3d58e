/** Builds `dist/greengage`: a single bundle, packaged as a Node.js single executable application. */
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { bundle } from "./bundle.ts";

const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BUNDLE_PATH = "dist/greengage.cjs";
const CONFIG_PATH = "dist/sea-config.json";
const BLOB_PATH = "dist/greengage.blob";
const EXECUTABLE_PATH = "dist/greengage";

mkdirSync("dist", { recursive: true });
await bundle("packages/cli/src/main.ts", BUNDLE_PATH);
writeFileSync(
    CONFIG_PATH,
    JSON.stringify({ main: BUNDLE_PATH, output: BLOB_PATH, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ["--experimental-sea-config", CONFIG_PATH], { stdio: "ignore" });
copyFileSync(process.execPath, EXECUTABLE_PATH);
chmodSync(EXECUTABLE_PATH, 0o755);
// Hides postject's warnings about sections of the Node.js executable that it does not touch.
execFileSync(
    process.execPath,
    [
        "node_modules/postject/dist/cli.js",
        EXECUTABLE_PATH,
        "NODE_SEA_BLOB",
        BLOB_PATH,
        "--sentinel-fuse",
        SENTINEL_FUSE,
    ],
    { stdio: "ignore" },
);
