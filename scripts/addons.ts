import type { Plugin } from "esbuild";

/**
 * Libraries try to load these native add-ons and go on without them. Inside the executable a failed `require` prints a
 * warning, so the bundle gets a module that throws in place of each.
 */
export const optionalAddons: Plugin = {
    name: "optional-addons",
    setup: (build) => {
        const filter = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate)$/;
        build.onResolve({ filter }, ({ path }) => ({ path, namespace: "optional-addon" }));
        build.onLoad({ filter: /.*/, namespace: "optional-addon" }, ({ path }) => ({
            contents: `throw new Error("${path} is not part of the executable");`,
        }));
    },
};
