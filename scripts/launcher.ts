/**
 * Entry point of `target/greengage.cjs`: runs the bundle in the same folder with the V8 code cache from the build. Without
 * the code cache a daemon spends most of its startup compiling libraries.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";

const BUNDLE_NAME = "greengage.bundle.cjs";
const CACHE_NAME = "greengage.bundle.cache";
/** Set at build time only: makes the process write the code cache when it exits. */
const WRITE_CACHE_VARIABLE = "GREENGAGE_WRITE_CODE_CACHE";

/** Reads the code cache. Returns undefined if it can't be read; the bundle is then compiled at startup. */
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
        JSON.stringify({
            event: "codeCache.rejected",
            reason: "created by another Node.js version or with other options",
        }),
    );
}
if (isBuilding) {
    // Written at exit, so that the cache includes the functions that were compiled while the modules were loaded.
    process.once("exit", () => writeFileSync(cachePath, script.createCachedData()));
}
const run = script.runInThisContext();
run.call(exports, exports, createRequire(bundlePath), module, bundlePath, folder);
