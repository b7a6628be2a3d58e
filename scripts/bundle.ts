import { build, type Plugin } from "esbuild";
import { dirname, resolve } from "node:path";

/**
 * Native add-ons that libraries load if they are installed. A failed `require` inside the executable prints a warning,
 * so each add-on is replaced by a module that throws.
 */
const optionalAddons: Plugin = {
    name: "optional-addons",
    setup: (build) => {
        const filter = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate)$/;
        build.onResolve({ filter }, ({ path }) => ({ path, namespace: "optional-addon" }));
        build.onLoad({ filter: /.*/, namespace: "optional-addon" }, ({ path }) => ({
            contents: `throw new Error("${path} is not part of the executable");`,
        }));
    },
};

/** Replaces libraries that a daemon uses only in part by the smaller entry point `scripts/slim/NAME.mjs`. */
const slimLibraries: Plugin = {
    name: "slim-libraries",
    setup: (build) => {
        build.onResolve(
            { filter: /^(undici|hdr-histogram-js)$/ },
            ({ path }) => ({ path: resolve(`scripts/slim/${path}.mjs`) }),
        );
    },
};

const ASSERT_REPLACEMENT = resolve("scripts/replacements/assert.mjs");

/** Replaces `node:assert` in all libraries by assertions that don't read the bundle when they fail. */
const assertions: Plugin = {
    name: "assertions",
    setup: (build) => {
        build.onResolve(
            { filter: /^(node:)?assert$/ },
            ({ path, importer }) =>
                importer === ASSERT_REPLACEMENT
                    ? { path, external: true }
                    : { path, namespace: "assertions" },
        );
        // `require` must return the function itself, not a module with a default export.
        build.onLoad({ filter: /.*/, namespace: "assertions" }, () => ({
            contents: `module.exports = require(${JSON.stringify(ASSERT_REPLACEMENT)}).default;`,
            resolveDir: dirname(ASSERT_REPLACEMENT),
        }));
        build.onResolve({ filter: /^(node:)?assert\/strict$/ }, ({ path }) => ({
            errors: [{ text: `${path} has no replacement that doesn't read the bundle` }],
        }));
    },
};

/** Bundles a program and its libraries into one file for Node.js. */
export const bundle = async (
    entryPoint: string,
    outfile: string,
    { optimizeStartup = false } = {},
): Promise<void> => {
    await build({
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        // esbuild can't resolve the `require` calls in jsonc-parser's default (UMD) entry point.
        mainFields: ["module", "main"],
        plugins: [optionalAddons, assertions, ...(optimizeStartup ? [slimLibraries] : [])],
        minify: optimizeStartup,
        // Keeps function and class names readable in errors and profiles.
        keepNames: optimizeStartup,
        logLevel: "error",
    });
};
