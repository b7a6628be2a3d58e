import { packConfiguration, unpackConfiguration } from "@greengage/fleet";
import test from "ava";
import { buildConfiguration, buildRoute } from "../configuration/fixtures.ts";

// Guards against fields lost in packing: the daemons that receive packed configurations would miss a limit or key.
test("packing and unpacking preserves a configuration", (t) => {
    const configuration = buildConfiguration({
        routes: [
            buildRoute(),
            buildRoute({ name: "r2", pathPrefix: "/b/", gapTargetMs: undefined, canResume: true }),
        ],
        organisations: [{ name: "kiosks", apiKeys: ["a", "b"], priority: undefined }],
    });
    t.deepEqual(unpackConfiguration(packConfiguration(configuration)), configuration);
});
