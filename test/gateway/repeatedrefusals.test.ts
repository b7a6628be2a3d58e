import { sleep } from "@greengage/base";
import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    createGateway,
    eventOf,
    type FakeServer,
    type RequestHandler,
    startServer,
    streamEvents,
} from "./fixtures.ts";

const refuse: RequestHandler = (request, response) => {
    response.writeHead(503, { "x-id": request.headers["x-id"], "x-signature": "s", "x-not-run": "1" });
    response.end("full");
};

/** Time for which a group that has refused a request gets no other. */
const AVOIDANCE_MS = 600;

interface FaultyServer extends FakeServer {
    /** Requests that the server has run. */
    runCount: number;
}

/**
 * Starts a server that refuses the first request, runs all later ones, and writes the refusal again on its connection, in
 * place of the response to the next request there.
 */
const startFaultyServer = async (t: ExecutionContext): Promise<FaultyServer> => {
    const refusedOn = new Set<Socket>();
    let runCount = 0;
    const server = await startServer(t, (request, response) => {
        if (refusedOn.size === 0) {
            refusedOn.add(request.socket);
            refuse(request, response);
            return;
        }
        runCount += 1;
        (refusedOn.has(request.socket) ? refuse : streamEvents(2))(request, response);
    });
    return Object.defineProperty(server, "runCount", { get: () => runCount }) as FaultyServer;
};

for (const canResume of [true, false]) {
    const kind = canResume ? "a stream" : "a stream that may not be resumed";

    // Guards against "not run" for a request that an engine is running, and against a second run of it.
    test(`${kind} gets its own answer when a server repeats the refusal of its former attempt`, async (t) => {
        const server = await startFaultyServer(t);
        const { send } = createGateway(t, {
            groupHeads: [server],
            configuration: { routes: [buildRoute({ canResume, maxAttempts: 3 })] },
        });
        const { error } = await send({ requestId: "r" });
        t.is(error?.verdict, "notRun");
        t.is(server.runCount, 0);
        await sleep(AVOIDANCE_MS);
        const { text, isEnded } = await send({ requestId: "r" });
        t.is(text, eventOf(1) + eventOf(2));
        t.true(isEnded);
        t.is(server.runCount, 1);
    });
}
