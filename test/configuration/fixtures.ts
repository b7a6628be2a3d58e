import { type Configuration, type EngineProfile, type Route, RouteKind } from "@greengage/configuration";

export const buildRoute = (fields: Partial<Route> = {}): Route => ({
    name: "chat",
    host: "a.example",
    pathPrefix: "/chat/",
    kind: RouteKind.Stream,
    timeoutMs: 6_000,
    targetMs: 400,
    priority: 1,
    shares: [{ service: "llm", weight: 1 }],
    maxAttempts: 2,
    allowsAnonymous: false,
    canResume: true,
    gapTargetMs: 250,
    ...fields,
});

/** Profile of a large model with 6 VMs per group and a small one with 3. */
export const buildEngineProfile = (fields: Partial<EngineProfile> = {}): EngineProfile => ({
    models: [
        { name: "large", vmCount: 6, share: 0.67, pace: 1, loadMs: 16_000, warmLoadMs: 1_600 },
        { name: "small", vmCount: 3, share: 0.33, pace: 0.6, loadMs: 12_000, warmLoadMs: 1_100 },
    ],
    slotCount: 18,
    kvCapacityTokens: 1_710_000,
    stepMs: 6.45,
    stepPerRequestMs: 0.14,
    stepPerContextMs: 0.0042,
    prefillTokensPerMs: 56.1,
    prefillPairsMs: 0.309,
    prefillChunkTokens: 2_048,
    stepsPerPass: 6,
    loadsPerS: 5.5,
    loadsAtOnce: 8,
    stagedModelCount: 1,
    openMs: 300,
    usualPromptTokens: 1_115,
    usualAnswerTokens: 152,
    ...fields,
});

export const buildConfiguration = (fields: Partial<Configuration> = {}): Configuration => ({
    version: 1,
    routes: [buildRoute()],
    services: [{ name: "llm", maxConnections: 400, engine: buildEngineProfile() }, {
        name: "ledger",
        maxConnections: 100,
    }],
    limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headersMs: 3_000, idleMs: 15_000 },
    organisations: [{ name: "kiosks", apiKeys: ["key-of-kiosks"] }],
    ...fields,
});
