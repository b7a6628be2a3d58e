/** Builds `target/greengage.cjs`, the bundle that runs on the users' platform. */
import { build } from "esbuild";
import { mkdirSync } from "node:fs";
import { optionalAddons } from "./addons.ts";

mkdirSync("target", { recursive: true });
await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/greengage.cjs",
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    // jsonc-parser's default entry point hides its requires from the bundler.
    mainFields: ["module", "main"],
    plugins: [optionalAddons],
    minifySyntax: true,
    logLevel: "error",
});
