import {
    ConfigurationState,
    pickService,
    RoutingTable,
    validateConfiguration,
} from "@greengage/configuration";
import test from "ava";
import { buildConfiguration, buildRoute } from "./fixtures.ts";

test("a valid configuration has no problems", (t) => {
    t.deepEqual(validateConfiguration(buildConfiguration()), []);
});

// Guards against an invalid configuration that is accepted and takes effect.
const invalid: Record<string, [Parameters<typeof buildConfiguration>[0], RegExp]> = {
    "an unknown service": [
        { routes: [buildRoute({ shares: [{ service: "nowhere", weight: 1 }] })] },
        /unknown service nowhere/,
    ],
    "two routes with the same host and prefix": [
        { routes: [buildRoute(), buildRoute({ name: "other" })] },
        /same host and prefix/,
    ],
    "weights that add up to 0": [
        { routes: [buildRoute({ shares: [{ service: "llm", weight: 0 }] })] },
        /weight above 0/,
    ],
    "a route without a service": [{ routes: [buildRoute({ shares: [] })] }, /weight above 0/],
    "a timeout of 0": [{ routes: [buildRoute({ timeoutMs: 0 })] }, /no timeout above 0/],
    "a prefix without slashes": [
        { routes: [buildRoute({ pathPrefix: "chat" })] },
        /without slashes/,
    ],
    "an API key of two organisations": [
        { organisations: [{ name: "a", apiKeys: ["k"] }, { name: "b", apiKeys: ["k"] }] },
        /share a key/,
    ],
    "a version of 0": [{ version: 0 }, /not a positive integer/],
};

for (const [title, [fields, problem]] of Object.entries(invalid)) {
    test(`a configuration with ${title} is invalid`, (t) => {
        t.regex(validateConfiguration(buildConfiguration(fields)).join("; "), problem);
    });
}

test("the longest matching prefix wins, and the query string is not part of the path", (t) => {
    const table = new RoutingTable(buildConfiguration({
        routes: [
            buildRoute({ name: "root", pathPrefix: "/" }),
            buildRoute({ name: "chat" }),
            buildRoute({ name: "deep", pathPrefix: "/chat/deep/" }),
            buildRoute({ name: "elsewhere", host: "b.example" }),
        ],
    }));
    const matched = (host: string, target: string): string | undefined => table.match(host, target)?.name;
    t.is(matched("a.example", "/chat/deep/1?x=/chat/"), "deep");
    t.is(matched("a.example:80", "/chat/1"), "chat");
    t.is(matched("a.example", "/chat?x=/chat/1"), "root");
    t.is(matched("b.example", "/chat/"), "elsewhere");
    t.is(matched("c.example", "/chat/"), undefined);
});

test("services are selected by weight, and never with a weight of 0", (t) => {
    const route = buildRoute({
        shares: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, { service: "c", weight: 0 }],
    });
    t.is(pickService(route, 0), "a");
    t.is(pickService(route, 0.89), "a");
    t.is(pickService(route, 0.91), "b");
    t.is(pickService(route, 0.9999), "b");
});

// Guards against a rollback to an older version, and against new content under the same version.
test("the highest version stays in force, whatever the order of the commands", (t) => {
    const state = new ConfigurationState();
    const replace = (version: number, text: string): boolean =>
        state.apply(1, { type: "configuration.replace", version, document: Buffer.from(text) } as never)
            .isChanged;
    t.true(replace(3, "three"));
    t.false(replace(2, "two"));
    t.false(replace(3, "other content"));
    t.true(replace(9, "nine"));
    t.is(Buffer.from(state.latest?.document ?? []).toString(), "nine");
    const copy = new ConfigurationState();
    copy.restore(state.snapshot());
    t.is(copy.version, 9);
    copy.restore(new ConfigurationState().snapshot());
    t.is(copy.version, 9);
});
