/** Builds `target/greengage.cjs`, the bundle that runs on the users' platform. */
import { mkdirSync } from "node:fs";
import { bundle } from "./bundle.ts";

mkdirSync("target", { recursive: true });
await bundle("platform/main.ts", "target/greengage.cjs", { minifySyntax: true });
