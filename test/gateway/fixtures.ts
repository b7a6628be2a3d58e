import { createContext, type DecisionFields, type GreengageError } from "@greengage/base";
import { type Configuration, RoutingTable } from "@greengage/configuration";
import {
    type CallerRequest,
    type CallerResponse,
    type CrashLeader,
    Gateway,
    type RequestPermit,
    type RequestPlacement,
    type ResponseHeaders,
    type ServerDialect,
} from "@greengage/gateway";
import type { FleetView, GroupSuspicion, LeavingServer, RelayedSignals } from "@greengage/protocol";
import { LimitStatement, parsePause, type Relays } from "@greengage/routing";
import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { buildConfiguration } from "../configuration/fixtures.ts";

/** Dialect for these tests, with one header for each field of the request metadata. */
const dialect: ServerDialect = {
    requestIdHeader: "x-id",
    encode: ({ serverId, deadlineMs, lastEventId, organisation = "" }) => ({
        "x-server": serverId,
        "x-deadline": String(deadlineMs),
        "x-organisation": organisation,
        ...(lastEventId === undefined ? {} : { "x-last-event": lastEventId }),
    }),
    decode: (status, headers) => ({
        status,
        isNotRun: headers["x-not-run"] !== undefined,
        hasSignature: headers["x-signature"] !== undefined,
        limit: headers["x-limit"] === undefined
            ? { statement: LimitStatement.Unlimited }
            : { statement: LimitStatement.Limited, requestsPerS: Number(headers["x-limit"]) },
        isLeaving: headers["x-leaving"] !== undefined,
        pause: headers["x-pause"] === undefined ? undefined : parsePause(headers["x-pause"]),
        headers: { "x-signature": String(headers["x-signature"]) },
    }),
};

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

export interface FakeServer {
    address: string;
    /** Headers of the received requests, in order. */
    received: IncomingMessage["headers"][];
    /** Number of requests whose connection the daemon closed before the response had ended. */
    abortedCount: number;
}

/** Starts a backend server that handles each request with `handler`. */
export const startServer = async (t: ExecutionContext, handler: RequestHandler): Promise<FakeServer> => {
    const fake: FakeServer = { address: "", received: [], abortedCount: 0 };
    const server = createServer((request, response) => {
        if (request.headers["x-id"] === undefined) {
            // Sent by another test process to the former user of this port; the gateway always sends an id.
            response.writeHead(400).end();
            return;
        }
        fake.received.push(request.headers);
        response.on("close", () => {
            fake.abortedCount += response.writableFinished ? 0 : 1;
        });
        request.resume().on("end", () => handler(request, response));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    fake.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    return fake;
};

export const writeHead = (request: IncomingMessage, response: ServerResponse, status = 200): void => {
    response.writeHead(status, { "x-id": request.headers["x-id"], "x-signature": "s" });
};

/** Answers with a short body. */
export const answer: RequestHandler = (request, response) => {
    writeHead(request, response);
    response.end("body");
};

export const eventOf = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** Streams the events after the request's last event id, up to `last`, and ends the response. */
export const streamEvents = (last: number): RequestHandler => (request, response) => {
    response.setHeader("content-type", "text/event-stream");
    writeHead(request, response);
    for (let id = Number(request.headers["x-last-event"] ?? 0) + 1; id <= last; id += 1) {
        response.write(eventOf(id));
    }
    response.end();
};

/** Records the response that a caller receives. */
export class RecordedResponse implements CallerResponse {
    isClosed = false;
    status: number | undefined;
    headers: ResponseHeaders = {};
    text = "";
    isEnded = false;
    isDestroyed = false;
    error: GreengageError | undefined;
    #closeListener: () => void = () => undefined;

    get hasStarted(): boolean {
        return this.status !== undefined;
    }

    get hasEnded(): boolean {
        return this.isEnded;
    }

    /** Simulates a caller that closes its connection. */
    disconnect(): void {
        this.isClosed = true;
        this.#closeListener();
    }

    onClosed(listener: () => void): void {
        this.#closeListener = listener;
    }

    sendHead(status: number, headers: ResponseHeaders): void {
        this.status = status;
        this.headers = headers;
    }

    write(chunk: Uint8Array): boolean {
        this.text += Buffer.from(chunk).toString();
        return true;
    }

    onDrained(listener: () => void): void {
        listener();
    }

    end(): void {
        this.isEnded = true;
    }

    send(status: number, headers: ResponseHeaders, body: Buffer): void {
        this.sendHead(status, headers);
        this.text = body.toString();
        this.isEnded = true;
    }

    destroy(): void {
        this.isDestroyed = true;
    }

    fail(error: GreengageError): void {
        this.error = error;
        this.isDestroyed = this.hasStarted;
    }
}

export interface Decision {
    event: string;
    fields: DecisionFields;
}

export interface GatewayFixture {
    gateway: Gateway;
    suspicions: GroupSuspicion[];
    /** Reports of groups that may only be silent for a moment. */
    earlyReports: GroupSuspicion[];
    /** Lines of the decision log. */
    decisions: Decision[];
    leavingReports: LeavingServer[];
    /** Signals passed on to peers that relayed requests. */
    relayedSignals: (RelayedSignals & { relayId: string; })[];
    /** Supplies configuration and fleet view to the gateway. */
    initialize(): void;
    send(request?: Partial<CallerRequest>): Promise<RecordedResponse>;
    startRequest(request?: Partial<CallerRequest>): { response: RecordedResponse; done: Promise<void>; };
}

export interface GatewayFixtureOptions {
    /** Heads of the groups of model `large`, in order of preference. */
    groupHeads?: readonly FakeServer[];
    servers?: readonly FakeServer[];
    configuration?: Partial<Configuration>;
    retries?: { share: number; slack: number; };
    /** Placement answers of a single control daemon; without it there is no control daemon. */
    requestPlacement?: RequestPlacement;
    requestPermit?: RequestPermit;
    /** Leader for observations about prompt parts; without it no report is accepted. */
    crashLeader?: CrashLeader;
    /** Default: no peer relays connections. */
    relays?: Relays;
    /** Whether the gateway starts without configuration and fleet view. */
    isUninitialized?: boolean;
}

export const createGateway = (t: ExecutionContext, options: GatewayFixtureOptions = {}): GatewayFixture => {
    const suspicions: GroupSuspicion[] = [];
    const earlyReports: GroupSuspicion[] = [];
    const decisions: Decision[] = [];
    const leavingReports: LeavingServer[] = [];
    const relayedSignals: GatewayFixture["relayedSignals"] = [];
    const gateway = new Gateway({
        context: createContext({
            daemonId: "entry",
            zone: "z",
            decisions: { record: (event, fields) => decisions.push({ event, fields }) },
        }),
        dialect,
        retries: options.retries ?? { share: 0.2, slack: 100 },
        requestPlacement: options.requestPlacement
            ?? (() => Promise.reject(new Error("no control daemon in this test"))),
        requestPermit: options.requestPermit
            ?? (() => Promise.reject(new Error("no control daemon in this test"))),
        crashLeader: options.crashLeader
            ?? { report: () => Promise.resolve(undefined), requestTrial: () => Promise.resolve(false) },
        reportLeaving: (server) => {
            leavingReports.push(server);
            return Promise.resolve();
        },
        relays: options.relays,
        onRelayedSignals: (relayId, signals) => relayedSignals.push({ relayId, ...signals }),
        onSuspicion: async (suspicion) => {
            (suspicion.isEarly === true ? earlyReports : suspicions).push(suspicion);
            return false;
        },
    });
    gateway.start();
    t.teardown(() => gateway.close());
    const initialize = (): void => {
        gateway.applyConfiguration(new RoutingTable(buildConfiguration(options.configuration)));
        gateway.applyView(viewOf(options));
    };
    if (options.isUninitialized !== true) {
        initialize();
    }
    let count = 0;
    const startRequest = (
        fields: Partial<CallerRequest> = {},
    ): { response: RecordedResponse; done: Promise<void>; } => {
        count += 1;
        const response = new RecordedResponse();
        return { response, done: gateway.handle(requestOf(`r${count}`, fields), response) };
    };
    return {
        gateway,
        suspicions,
        earlyReports,
        decisions,
        leavingReports,
        relayedSignals,
        initialize,
        startRequest,
        send: async (fields) => {
            const { response, done } = startRequest(fields);
            await done;
            return response;
        },
    };
};

/** Fleet view whose first group is in the daemon's own zone, so that requests prefer it. */
export const viewOf = (
    { groupHeads = [], servers = [], requestPlacement }: GatewayFixtureOptions,
): FleetView => ({
    term: 1,
    version: 1,
    groups: groupHeads.map(({ address }, index) => ({
        groupName: `g${index}`,
        epoch: index + 1,
        service: "llm",
        model: "large",
        headId: `head${index}`,
        headAddress: address,
        zone: index === 0 ? "z" : "other",
    })),
    servers: servers.map(({ address }, index) => ({
        serverId: `server${index}`,
        service: "ledger",
        address,
        zone: index === 0 ? "z" : "other",
        slotCount: 6,
    })),
    entryDaemonCount: 1,
    controllers: requestPlacement === undefined ? [] : [{ daemonId: "control", zone: "z" }],
});

const requestOf = (requestId: string, fields: Partial<CallerRequest>): CallerRequest => ({
    requestId,
    host: "a.example",
    method: "POST",
    target: "/chat/1",
    headers: {},
    body: Buffer.from("body"),
    apiKey: "key-of-kiosks",
    deadlineMs: 6_000,
    receivedAtMs: performance.now(),
    generation: { model: "large", promptTokens: 100, maxAnswerTokens: 50, parts: [] },
    ...fields,
});
