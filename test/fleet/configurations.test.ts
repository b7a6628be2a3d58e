import { packConfiguration, unpackConfiguration } from "@greengage/fleet";
import test from "ava";
import { configurationOf, routeOf } from "../configuration/fixtures.ts";

// Guards against fields that daemons lose on the way: a missing limit or key would be in force on some of them only.
test("a configuration is the same after it was packed for another daemon", (t) => {
    const configuration = configurationOf({
        routes: [
            routeOf(),
            routeOf({ name: "r2", pathPrefix: "/b/", gapTargetMs: undefined, canResume: true }),
        ],
        organisations: [{ name: "kiosks", apiKeys: ["a", "b"], priority: undefined }],
    });
    t.deepEqual(unpackConfiguration(packConfiguration(configuration)), configuration);
});
