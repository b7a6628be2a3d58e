import { build, type Plugin } from "esbuild";
import { resolve } from "node:path";

/**
 * Libraries try to load these native add-ons and go on without them. Inside the executable a failed `require` prints a
 * warning, so the bundle gets a module that throws in place of each.
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

/** Libraries of which a daemon needs a part only, replaced by `scripts/slim/NAME.mjs`. */
const slimLibraries: Plugin = {
    name: "slim-libraries",
    setup: (build) => {
        build.onResolve(
            { filter: /^(undici|hdr-histogram-js)$/ },
            ({ path }) => ({ path: resolve(`scripts/slim/${path}.mjs`) }),
        );
    },
};

/** Bundles a program and its libraries into one file for Node.js. */
export const bundle = async (
    entryPoint: string,
    outfile: string,
    { startsFast = false } = {},
): Promise<void> => {
    await build({
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        // jsonc-parser's default entry point hides its requires from the bundler.
        mainFields: ["module", "main"],
        plugins: [optionalAddons, ...(startsFast ? [slimLibraries] : [])],
        minify: startsFast,
        // Names show in errors and in profiles.
        keepNames: startsFast,
        logLevel: "error",
    });
};
