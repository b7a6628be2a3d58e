// Configurations as on the page about the protocol.

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";

export const MODELS = { daka51: { size: 3, load_s: 12, warm_s: 1.1 } };

export const modelService = {
    name: "huvo11a",
    health_path: "/health",
    max_connections: 304,
    protocol: "h1",
    tls: false,
    engine: {
        slots: 18,
        kv_capacity_tokens: 1710000,
        kv_token_bytes: 50752,
        link_mbps: 400000,
        stride: 6,
        models: [{ name: "daka51", size: 3, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }],
        step_ms: 6.45,
        per_seq_ms: 0.13967777777777776,
        context_per_k: 0.004232222222222222,
        read_per_s: 56100,
        pairs_per_m: 0.309,
        chunk: 2048,
        report_lag_ms: 200,
        loads_per_s: 5.5,
        loads_at_once: 8,
        delays: [],
        usual: { prompt: 1115, answer: 152 },
        keeps: 1,
        far_x: 4,
        form_ms: 300,
    },
};

export const plainService = { name: "wuno96b", health_path: "/health", max_connections: 100, protocol: "h1", tls: false };

export const streamRoute = {
    name: "r-2yhvz3p",
    host: HOST,
    path_prefix: "/lohu930/",
    kind: "streaming",
    timeout_ms: 8000,
    target_latency_ms: 400,
    priority: 1,
    service: "huvo11a",
    attempts: 2,
    allow_anonymous: false,
    sticky_sessions: true,
    enable_resume: true,
    gap_target_ms: 250,
};

export const unsafeRoute = {
    name: "r-fi6y7z5",
    host: HOST,
    path_prefix: "/puxa403/",
    kind: "unsafe",
    timeout_ms: 1200,
    target_latency_ms: 193,
    priority: 2,
    service: "wuno96b",
    attempts: 1,
    allow_anonymous: false,
};

export const tenants = [{ name: "hule930", api_keys: [KEY], priority: 1 }];

export const limits = {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
};

export const configurationOf = (version, fields) => ({ version, limits, tenants, ...fields });

/** Headers of a request for the model. */
export const streamHeaders = (id) => ({
    host: HOST,
    "greengageridge-request-id": id,
    "greengageridge-model": "daka51",
    "greengageridge-token-usage": "714,180",
    "greengageridge-prompt-prefix": `5c1e07a2:40,${id.replace(/[^0-9a-f]/g, "0")}:674`,
    "greengageridge-deadline-ms": "8000",
    authorization: `Bearer ${KEY}`,
});
