import { createContext, monotonicMs, newId, Random, sleep } from "@greengage/base";
import type { GroupDirectory } from "@greengage/membership";
import type { GroupView } from "@greengage/protocol";
import { BackendDispatcher, type EventSink } from "@greengage/routing";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type FirstTokenFigures, firstTokenFigures } from "./percentiles.ts";

const GROUP_COUNT = 4;
const SLOTS_PER_GROUP = 8;
const FIRST_TOKEN_MS = 60;
const TOKENS_PER_ANSWER = 10;
const TOKEN_GAP_MS = 30;
const SMALL_ORGANISATION_COUNT = 4;
const SMALL_RATE_PER_S = 4;
/** Concurrent requests of the large organisation: eight times the slots. */
const FLOOD_REQUEST_COUNT = 256;
const WARM_UP_MS = 3_000;
const DURATION_MS = 30_000;
const SEED = 11;

const streamAnswer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    request.resume();
    response.writeHead(200, { "x-request-id": String(request.headers["x-request-id"]) });
    await sleep(FIRST_TOKEN_MS);
    for (let index = 0; index < TOKENS_PER_ANSWER; index += 1) {
        response.write("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token\"}}]}\n\n");
        await sleep(TOKEN_GAP_MS);
    }
    response.end("data: [DONE]\n\n");
};

const startEngine = async (): Promise<Server> => {
    const server = createServer((request, response) => void streamAnswer(request, response));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return server;
};

const groupViewOf = (server: Server, index: number): GroupView => ({
    groupId: `group-${index}`,
    generation: 1,
    model: "assistant",
    zone: "zone-a",
    fabricDomain: "rack-1",
    state: "serving",
    memberVmIds: [`vm-${index}`],
    leaderUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    maxConcurrent: SLOTS_PER_GROUP,
    load: { runningRequests: 0, waitingRequests: 0, kvUsedShare: 0, tokenGapMs: 0 },
});

/** Stub of the directory methods that a dispatcher needs, with a fixed set of groups. */
const directoryOf = (groups: GroupView[]): GroupDirectory =>
    ({
        servingGroups: () => groups,
        allGroups: () => groups,
        services: () => [],
        isServing: () => true,
        daemonCount: () => 1,
        share: () => undefined,
        suspect: () => undefined,
        setDemandSource: () => undefined,
        setInFlightSource: () => undefined,
        onChange: () => () => undefined,
    }) as unknown as GroupDirectory;

const organisationRow = { requestsPerS: 100_000, maxConcurrent: 100_000, weight: 1, priority: 5 };

interface Scenario {
    hasFlood: boolean;
    isFair: boolean;
}

/** Sends a request and returns its time to first token, or undefined if it was refused. */
const firstTokenMs = async (
    dispatcher: BackendDispatcher,
    organisation: string,
): Promise<number | undefined> => {
    const startedAtMs = monotonicMs();
    let firstMs: number | undefined;
    const sink: EventSink = {
        write: () => {
            firstMs ??= monotonicMs() - startedAtMs;
            return true;
        },
        drained: () => Promise.resolve(),
    };
    const request = {
        requestId: newId(),
        organisation,
        model: "assistant",
        body: { messages: [{ role: "user", content: "Umbrellas left?" }] },
        deadlineAtMs: startedAtMs + 60_000,
    };
    await dispatcher.generate(request, sink, new AbortController().signal).catch(() => undefined);
    return firstMs;
};

const sendFlood = async (dispatcher: BackendDispatcher, untilMs: number): Promise<void> => {
    while (monotonicMs() < untilMs) {
        const durationMs = await firstTokenMs(dispatcher, "large");
        await sleep(durationMs === undefined ? 50 : 0);
    }
};

const sendPoissonArrivals = async (
    dispatcher: BackendDispatcher,
    organisation: string,
    random: Random,
    untilMs: number,
): Promise<number[]> => {
    const running: Promise<number | undefined>[] = [];
    while (monotonicMs() < untilMs) {
        await sleep(-Math.log(1 - random.nextFloat()) / SMALL_RATE_PER_S * 1_000);
        running.push(firstTokenMs(dispatcher, organisation));
    }
    // A request without a first token counts with its full deadline of 60 s.
    return (await Promise.all(running)).map((durationMs) => durationMs ?? 60_000);
};

const runScenario = async ({ hasFlood, isFair }: Scenario): Promise<FirstTokenFigures> => {
    const servers = await Promise.all(Array.from({ length: GROUP_COUNT }, startEngine));
    const dispatcher = new BackendDispatcher({
        context: createContext({ daemonId: "daemon-1", zone: "zone-a" }),
        directory: directoryOf(servers.map(groupViewOf)),
        table: {
            organisation: (name) => ({
                ...organisationRow,
                name,
                version: 1,
                apiKeyHashes: [],
                enabled: true,
            }),
            service: () => undefined,
        },
        backendKey: "key",
        isFair,
    });
    const untilMs = monotonicMs() + WARM_UP_MS + DURATION_MS;
    const floods = Array.from(
        { length: hasFlood ? FLOOD_REQUEST_COUNT : 0 },
        () => sendFlood(dispatcher, untilMs),
    );
    await sleep(WARM_UP_MS);
    const samples = await Promise.all(
        Array.from(
            { length: SMALL_ORGANISATION_COUNT },
            (_, index) =>
                sendPoissonArrivals(dispatcher, `small-${index}`, new Random(SEED + index), untilMs),
        ),
    );
    await Promise.all(floods);
    await dispatcher.close();
    for (const server of servers) {
        server.close();
        server.closeAllConnections();
    }
    return firstTokenFigures(samples.flat());
};

/** Measures time to first token of small organisations, with and without a flood from a large one. */
export const measureFairness = async (): Promise<object> => {
    const withoutFlood = await runScenario({ hasFlood: false, isFair: true });
    const withFlood = await runScenario({ hasFlood: true, isFair: true });
    const withoutFairQueue = await runScenario({ hasFlood: true, isFair: false });
    const p95Change = Math.round((withFlood.p95Ms / withoutFlood.p95Ms - 1) * 1_000) / 1_000;
    return { withoutFlood, withFlood, withoutFairQueue, p95Change, aimP95Change: 0.1 };
};
