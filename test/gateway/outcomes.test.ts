import { RoutingTable } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import { RequestOutcome } from "@greengage/gateway";
import test, { type ExecutionContext } from "ava";
import { buildConfiguration } from "../configuration/fixtures.ts";
import {
    eventOf,
    type FakeServer,
    type GatewayFixture,
    type RecordedResponse,
    type RequestHandler,
    startServer,
    streamEvents,
    viewOf,
    writeHead,
} from "./fixtures.ts";
import { allKinds, createFixture, requestFields, RequestKind, ROUTE_TIMEOUT_MS } from "./requestkinds.ts";

const FINAL_EVENTS: ReadonlySet<string> = new Set([
    "request.answered",
    "request.answeredFailure",
    "request.rejected",
    "request.failed",
    "request.abandoned",
]);
const SHORT_TIMEOUT_MS = 300;
/** Timeout of a route within which a stream begins. */
const STREAM_TIMEOUT_MS = 2_000;

interface Scene {
    fixture: GatewayFixture;
    response: RecordedResponse;
    server: FakeServer;
}

interface Path {
    kinds: readonly RequestKind[];
    /** Handler of the only server; without it there is no server. */
    handler?: RequestHandler;
    request?: Parameters<GatewayFixture["startRequest"]>[0];
    timeoutMs?: number;
    /** Called when the server has received the request, and the caller what the server has sent. */
    act?: (scene: Scene) => void;
    outcome: RequestOutcome;
}

const respond = (status: number): RequestHandler => (request, response) => {
    writeHead(request, response, status);
    response.end("body");
};

const declineToRun: RequestHandler = (request, response) => {
    response.writeHead(503, { "x-id": request.headers["x-id"], "x-signature": "s", "x-not-run": "1" }).end();
};

const beginStream: RequestHandler = (request, response) => {
    response.setHeader("content-type", "text/event-stream");
    writeHead(request, response);
    response.write(eventOf(1));
};

const staySilent: RequestHandler = () => undefined;

const reset: RequestHandler = (request) => request.socket.resetAndDestroy();

const beginAndReset: RequestHandler = (request, response) => {
    beginStream(request, response);
    setTimeout(() => request.socket.resetAndDestroy(), 50);
};

/** Puts a configuration and a view in force that have nothing in common with the former ones. */
const dropEverything = ({ fixture: { gateway } }: Scene): void => {
    const configuration = buildConfiguration({ version: 2, routes: [], services: [], organisations: [] });
    gateway.applyConfiguration(new RoutingTable(configuration));
    gateway.applyView({ ...viewOf({}), version: 2 });
};

const shutDown = ({ fixture }: Scene): void => fixture.gateway.endCalls();
const disconnect = ({ response }: Scene): void => response.disconnect();

/** Delays the response until the scene has changed. */
const later = (handler: RequestHandler): RequestHandler => (request, response) => {
    setTimeout(() => handler(request, response), 200);
};

const calls = [RequestKind.Safe, RequestKind.Unsafe];
const streams = [RequestKind.Stream, RequestKind.SingleStream];
const { Answered, Refused, BrokenOff, Abandoned } = RequestOutcome;

const paths: Record<string, Path> = {
    "a complete response": { kinds: calls, handler: respond(200), outcome: Answered },
    "an error response of the server": { kinds: allKinds, handler: respond(500), outcome: Answered },
    "a complete stream": { kinds: streams, handler: streamEvents(3), outcome: Answered },
    "no server": { kinds: allKinds, outcome: Refused },
    "a server that does not run the request": { kinds: allKinds, handler: declineToRun, outcome: Refused },
    "a connection that breaks before the response": { kinds: allKinds, handler: reset, outcome: Refused },
    "a stream that breaks": { kinds: streams, handler: beginAndReset, outcome: BrokenOff },
    "a deadline before the response": {
        kinds: allKinds,
        handler: staySilent,
        timeoutMs: SHORT_TIMEOUT_MS,
        outcome: Refused,
    },
    "a deadline in a stream": {
        kinds: streams,
        handler: beginStream,
        timeoutMs: STREAM_TIMEOUT_MS,
        outcome: BrokenOff,
    },
    "a shutdown before the response": {
        kinds: allKinds,
        handler: staySilent,
        act: shutDown,
        outcome: Refused,
    },
    "a shutdown in a stream": { kinds: streams, handler: beginStream, act: shutDown, outcome: BrokenOff },
    "a caller that leaves before the response": {
        kinds: allKinds,
        handler: staySilent,
        act: disconnect,
        outcome: Abandoned,
    },
    "a caller that leaves in a stream": {
        kinds: streams,
        handler: beginStream,
        act: disconnect,
        outcome: Abandoned,
    },
    "a response after everything was dropped": {
        kinds: calls,
        handler: later(respond(200)),
        act: dropEverything,
        outcome: Answered,
    },
    "a stream after everything was dropped": {
        kinds: streams,
        handler: later(streamEvents(3)),
        act: dropEverything,
        outcome: Answered,
    },
    "a connection that breaks after everything was dropped": {
        kinds: allKinds,
        handler: later(reset),
        act: dropEverything,
        outcome: Refused,
    },
    "a stream that breaks after everything was dropped": {
        kinds: streams,
        handler: beginAndReset,
        act: dropEverything,
        outcome: BrokenOff,
    },
    "a server that does not run the request after everything was dropped": {
        kinds: allKinds,
        handler: later(declineToRun),
        act: dropEverything,
        outcome: Refused,
    },
    "an unknown route": {
        kinds: allKinds,
        handler: respond(200),
        request: { host: "b.example" },
        outcome: Refused,
    },
    "an unknown key": { kinds: allKinds, handler: respond(200), request: { apiKey: "x" }, outcome: Refused },
};

/** Outcome by the state of the response. */
const observedOutcome = ({ isClosed, isDestroyed, isEnded, error }: RecordedResponse): RequestOutcome => {
    if (isClosed) {
        return Abandoned;
    }
    if (isDestroyed) {
        return BrokenOff;
    }
    return isEnded && error === undefined ? Answered : Refused;
};

const runPath = async (t: ExecutionContext, kind: RequestKind, path: Path): Promise<void> => {
    const { handler = staySilent, act, request = {}, timeoutMs = ROUTE_TIMEOUT_MS, outcome } = path;
    const server = await startServer(t, handler);
    const fixture = createFixture(t, path.handler === undefined ? [] : [server], timeoutMs);
    const { response, done } = fixture.startRequest({ ...requestFields[kind], ...request });
    if (act !== undefined) {
        await waitFor("the request", async () => server.received.length > 0 ? true : undefined);
        if (handler === beginStream || handler === beginAndReset) {
            await waitFor("the first event", async () => response.text === "" ? undefined : true);
        }
        act({ fixture, response, server });
    }
    await done;
    t.is(observedOutcome(response), outcome);
    const lines = fixture.decisions.filter(({ event }) => FINAL_EVENTS.has(event));
    t.is(lines.length, 1, lines.map(({ event }) => event).join());
    t.is(lines[0]?.fields["request"], "r1");
    if (outcome !== Answered) {
        t.is(lines[0]?.fields["outcome"], outcome);
        t.not(lines[0]?.fields["reason"] ?? "", "");
    }
};

// Guards against requests that end without an answer, a refusal or a reason.
for (const [title, path] of Object.entries(paths)) {
    for (const kind of path.kinds) {
        test(`${kind} has one outcome, and a line that states it: ${title}`, (t) => runPath(t, kind, path));
    }
}
