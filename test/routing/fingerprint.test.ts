import { fingerprintOf, type RequestContent } from "@greengage/routing";
import test from "ava";

const content = (overrides: Partial<RequestContent> = {}): RequestContent => ({
    scope: "advice.example",
    organisation: "org-a",
    method: "POST",
    target: "/advice/1?x=2",
    body: Buffer.from("content"),
    ...overrides,
});

test("requests with the same content have the same fingerprint", (t) => {
    t.is(fingerprintOf(content()), fingerprintOf(content({ body: Uint8Array.from(Buffer.from("content")) })));
    t.regex(fingerprintOf(content()), /^[0-9a-f]{32}$/);
});

const differences: Record<string, Partial<RequestContent>> = {
    scope: { scope: "triage.example" },
    organisation: { organisation: "org-b" },
    "an anonymous caller": { organisation: undefined },
    method: { method: "PUT" },
    query: { target: "/advice/1?x=3" },
    body: { body: Buffer.from("Content") },
    "the boundary between target and body": { target: "/advice/1?x=", body: Buffer.from("2content") },
};

for (const [name, overrides] of Object.entries(differences)) {
    test(`requests that differ in ${name} have different fingerprints`, (t) => {
        t.not(fingerprintOf(content()), fingerprintOf(content(overrides)));
    });
}
