import { sleep } from "@greengage/base";
import { type ServerLinks, waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import type { IncomingMessage } from "node:http";
import { request } from "undici";
import { type EngineFleet, PlatformEngine } from "./engine.ts";
import {
    callUntil,
    chatHeaders,
    type EntryFixture,
    type PlatformFixture,
    startPlatform,
    wireConfiguration,
} from "./fixtures.ts";
import { formatStream } from "./streamcontent.ts";

const MODEL_SIZE = 2;
const GROUP_COUNT = 3;
const LEDGER_COUNT = 2;
/** Makes a stream last for about a second, so that a cut interrupts some. */
const EVENT_COUNT = 20;
const EVENT_GAP_MS = 50;
/** Long enough for a cut to hit calls that run. */
const WORK_MS = 40;
/** A busy machine delays first events, and predictions follow. */
const STREAM_TARGET_MS = 2_000;

/** Entry daemon whose paths to all servers can be cut. */
export type LinkedEntry = EntryFixture & { links: ServerLinks; };

/** A run of a request at an engine. */
export interface EngineRun {
    engineId: string;
    /** Time at which the connection of the request closed. */
    closedAtMs?: number;
}

/** Daemons whose entry daemons can lose their paths to servers, groups that serve `/chat/`, and a ledger for `/read/` and `/pay/`. */
export interface PartitionedFleet {
    platform: PlatformFixture;
    entries: LinkedEntry[];
    engines: PlatformEngine[];
    /** Violations that the engines have found. */
    violations: string[];
    /** Runs by request id. */
    runs: Map<string, EngineRun[]>;
}

export const startPartitionedFleet = async (
    t: ExecutionContext,
    entryCount: number,
): Promise<PartitionedFleet> => {
    const platform = await startPlatform(t, { entryCount, hasServerLinks: true });
    const entries = platform.entries as LinkedEntry[];
    const violations: string[] = [];
    const runs = new Map<string, EngineRun[]>();
    const fleet: EngineFleet = {
        engines: new Map(),
        modelSizes: { m: MODEL_SIZE },
        onRun: (engineId, message) => recordRun(runs, engineId, message),
        onViolation: (rule, detail) => violations.push(`${rule}: ${detail}`),
    };
    const engines: PlatformEngine[] = [];
    for (let index = 0; index < GROUP_COUNT * MODEL_SIZE + LEDGER_COUNT; index += 1) {
        const isModel = index < GROUP_COUNT * MODEL_SIZE;
        const options = isModel ? { service: "llm", domain: "d0" } : { service: "ledger" };
        const engine = await PlatformEngine.start(t, {
            ...options,
            id: `e${index}`,
            control: platform.control,
            fleet,
        });
        engine.eventGapMs = EVENT_GAP_MS;
        engine.workMs = WORK_MS;
        engines.push(engine);
        await Promise.all(entries.map(({ links }) => links.addServer(engine.port)));
    }
    await callUntil(200, `http://${platform.control}/greengageridge/Config.Replace`, {
        method: "POST",
        body: JSON.stringify(configuration()),
    });
    await waitFor(
        "groups",
        () =>
            engines.filter(({ member }) => member.acceptsRequests).length === GROUP_COUNT ? true : undefined,
    );
    for (const { readiness, callers } of entries) {
        await callUntil(200, `http://${readiness}/greengageridge/ready`);
        for (const kind of Object.values(RequestKind)) {
            await callUntil(200, `http://${callers}/${kind}/0`, {
                method: "POST",
                headers: chatHeaders("r0"),
            });
        }
    }
    return { platform, entries, engines, violations, runs };
};

const configuration = (): object => {
    const { routes, ...fields } = wireConfiguration(1);
    const [chat, pay] = routes as object[];
    return {
        ...fields,
        routes: [
            { ...chat, target_latency_ms: STREAM_TARGET_MS },
            pay,
            { ...pay, name: "read", path_prefix: "/read/", kind: "safe", attempts: 2 },
        ],
    };
};

const recordRun = (runs: PartitionedFleet["runs"], engineId: string, message: IncomingMessage): void => {
    const id = String(message.headers["greengageridge-request-id"]);
    const run: EngineRun = { engineId };
    runs.set(id, [...runs.get(id) ?? [], run]);
    message.socket.once("close", () => {
        run.closedAtMs = performance.now();
    });
};

/** Kinds of requests, by the first part of their path. */
export const RequestKind = { Stream: "chat", Safe: "read", Unsafe: "pay" } as const;

export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

const INTERVALS_MS: Record<RequestKind, number> = { chat: 160, read: 60, pay: 60 };

/** What the caller of one request has seen. */
export interface CallerAnswer {
    id: string;
    kind: RequestKind;
    entry: LinkedEntry;
    sentAtMs: number;
    /** HTTP status, or 0 if there was none. */
    status: number;
    body: string;
    /** Whether the connection ended as complete. */
    isComplete: boolean;
    expectedBody: string;
}

/** Callers that send requests of all kinds to each entry daemon at a constant rate. Each request is sent once. */
export class SteadyCallers {
    readonly #entries: readonly LinkedEntry[];
    readonly #pending: Promise<CallerAnswer>[] = [];
    readonly #abort = new AbortController();
    readonly #loops: Promise<void>[];

    constructor(entries: readonly LinkedEntry[]) {
        this.#entries = entries;
        this.#loops = Object.values(RequestKind).map((kind) => this.#send(kind));
    }

    /** Stops sending, and returns the answers to all requests. */
    async stop(): Promise<CallerAnswer[]> {
        this.#abort.abort();
        await Promise.all(this.#loops);
        return await Promise.all(this.#pending);
    }

    async #send(kind: RequestKind): Promise<void> {
        const { signal } = this.#abort;
        for (let count = 1; !signal.aborted; count += 1) {
            for (const [index, entry] of this.#entries.entries()) {
                this.#pending.push(sendRequest(entry, kind, `${kind}-${index}-${count}`));
            }
            await sleep(INTERVALS_MS[kind], signal);
        }
    }
}

const sendRequest = async (entry: LinkedEntry, kind: RequestKind, id: string): Promise<CallerAnswer> => {
    const isStream = kind === RequestKind.Stream;
    const answer: CallerAnswer = {
        id,
        kind,
        entry,
        sentAtMs: performance.now(),
        status: 0,
        body: "",
        isComplete: false,
        expectedBody: isStream ? formatStream({ text: id, count: EVENT_COUNT }) : `done ${id}`,
    };
    try {
        const response = await request(`http://${entry.callers}/${kind}/${id}`, {
            method: "POST",
            body: isStream ? `${id} ${EVENT_COUNT}` : id,
            headers: chatHeaders(id),
        });
        answer.status = response.statusCode;
        for await (const chunk of response.body) {
            answer.body += (chunk as Buffer).toString();
        }
        answer.isComplete = true;
    }
    catch {
        // The connection failed; what arrived is still checked.
    }
    return answer;
};

export const isServed = ({ status, isComplete, body, expectedBody }: CallerAnswer): boolean =>
    status === 200 && isComplete && body === expectedBody;

/** Share of answers that were served in full. */
export const servedShare = (answers: readonly CallerAnswer[]): number =>
    answers.filter(isServed).length / answers.length;
