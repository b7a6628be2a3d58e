/**
 * Entry point of `target/greengage.cjs`: runs the bundle beside it with the code that V8 compiled at build time. Without
 * that code a restarted daemon spends most of its start compiling libraries.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

const BUNDLE_NAME = "greengage.bundle.cjs";
const CACHE_NAME = "greengage.bundle.cache";
/** Set at build time only: the cache is written when the process ends. */
const WRITE_CACHE_VARIABLE = "GREENGAGE_WRITE_CODE_CACHE";

/** The compiled code, or undefined where the build could not write it; the bundle is then compiled as usual. */
const readCache = (path: string): Buffer | undefined => {
    try {
        return readFileSync(path);
    }
    catch (error) {
        console.error(JSON.stringify({ event: "codeCache.missing", reason: String(error) }));
        return undefined;
    }
};

const folder = dirname(__filename);
const bundlePath = join(folder, BUNDLE_NAME);
const cachePath = join(folder, CACHE_NAME);
const isBuilding = process.env[WRITE_CACHE_VARIABLE] !== undefined;
const script = new Script(Module.wrap(readFileSync(bundlePath, "utf8")), {
    filename: bundlePath,
    cachedData: isBuilding ? undefined : readCache(cachePath),
});
if (script.cachedDataRejected) {
    console.error(
        JSON.stringify({ event: "codeCache.rejected", reason: "made by another Node.js or other options" }),
    );
}
if (isBuilding) {
    // At the end, so that it holds the functions that ran while the modules were loaded.
    process.once("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
const run = script.runInThisContext();
run.call(exports, exports, createRequire(bundlePath), module, bundlePath, folder);
