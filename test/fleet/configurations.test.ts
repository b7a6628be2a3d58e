import { packConfiguration, unpackConfiguration } from "@greengage/fleet";
import test from "ava";
import { configurationOf, routeOf } from "../configuration/fixtures.ts";

// Guards against fields lost in packing: the daemons that receive packed configurations would miss a limit or key.
test("packing and unpacking preserves a configuration", (t) => {
    const configuration = configurationOf({
        routes: [
            routeOf(),
            routeOf({ name: "r2", pathPrefix: "/b/", gapTargetMs: undefined, canResume: true }),
        ],
        organisations: [{ name: "kiosks", apiKeys: ["a", "b"], priority: undefined }],
    });
    t.deepEqual(unpackConfiguration(packConfiguration(configuration)), configuration);
});
