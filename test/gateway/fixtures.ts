import { createContext, type GreengageError } from "@greengage/base";
import { type Configuration, RoutingTable } from "@greengage/configuration";
import {
    type CallerRequest,
    type CallerResponse,
    Gateway,
    type RequestPlacement,
    type ResponseHeaders,
    type ServerDialect,
} from "@greengage/gateway";
import type { FleetView, GroupSuspicion } from "@greengage/protocol";
import type { ExecutionContext } from "ava";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { buildConfiguration } from "../configuration/fixtures.ts";

/** A dialect of these tests: one header for each thing that a server is told. */
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
        headers: { "x-signature": String(headers["x-signature"]) },
    }),
};

export type Answer = (request: IncomingMessage, response: ServerResponse) => void;

export interface FakeServer {
    address: string;
    /** Headers of the requests that have arrived, in order. */
    received: IncomingMessage["headers"][];
    /** Requests whose connection was closed by the daemon before the answer had ended. */
    abandonedCount: number;
}

/** Starts a backend server that answers each request by `answer`. */
export const serverOf = async (t: ExecutionContext, answer: Answer): Promise<FakeServer> => {
    const fake: FakeServer = { address: "", received: [], abandonedCount: 0 };
    const server = createServer((request, response) => {
        fake.received.push(request.headers);
        response.on("close", () => {
            fake.abandonedCount += response.writableFinished ? 0 : 1;
        });
        request.resume().on("end", () => answer(request, response));
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

export const eventOf = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** Writes the events after the one that the request names, up to `last`, and ends the answer. */
export const events = (last: number): Answer => (request, response) => {
    writeHead(request, response);
    for (let id = Number(request.headers["x-last-event"] ?? 0) + 1; id <= last; id += 1) {
        response.write(eventOf(id));
    }
    response.end();
};

/** What a caller receives. */
export class RecordedResponse implements CallerResponse {
    isClosed = false;
    status: number | undefined;
    headers: ResponseHeaders = {};
    text = "";
    isEnded = false;
    isDestroyed = false;
    error: GreengageError | undefined;
    #closed: () => void = () => undefined;

    get hasStarted(): boolean {
        return this.status !== undefined;
    }

    /** The caller leaves. */
    leave(): void {
        this.isClosed = true;
        this.#closed();
    }

    onClosed(listener: () => void): void {
        this.#closed = listener;
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

export interface GatewayFixture {
    gateway: Gateway;
    suspicions: GroupSuspicion[];
    /** Gives the gateway its configuration and view. */
    inform(): void;
    send(request?: Partial<CallerRequest>): Promise<RecordedResponse>;
    begin(request?: Partial<CallerRequest>): { response: RecordedResponse; done: Promise<void>; };
}

export interface GatewayFixtureOptions {
    /** Heads of groups of the model `large`, in the order of preference. */
    heads?: readonly FakeServer[];
    servers?: readonly FakeServer[];
    configuration?: Partial<Configuration>;
    retries?: { share: number; slack: number; };
    /** Answers for the one control daemon; without it there is none. */
    askForPlace?: RequestPlacement;
    /** Whether the gateway knows neither configuration nor fleet yet. */
    isStarting?: boolean;
}

export const gatewayOf = (t: ExecutionContext, options: GatewayFixtureOptions = {}): GatewayFixture => {
    const suspicions: GroupSuspicion[] = [];
    const gateway = new Gateway({
        context: createContext({ daemonId: "entry", zone: "z" }),
        dialect,
        retries: options.retries ?? { share: 0.2, slack: 100 },
        requestPlacement: options.askForPlace
            ?? (() => Promise.reject(new Error("no control daemon in this test"))),
        onSuspicion: async (suspicion) => {
            suspicions.push(suspicion);
            return false;
        },
    });
    gateway.start();
    t.teardown(() => gateway.close());
    const inform = (): void => {
        gateway.applyConfiguration(new RoutingTable(buildConfiguration(options.configuration)));
        gateway.applyView(viewOf(options));
    };
    if (options.isStarting !== true) {
        inform();
    }
    let count = 0;
    const begin = (
        fields: Partial<CallerRequest> = {},
    ): { response: RecordedResponse; done: Promise<void>; } => {
        count += 1;
        const response = new RecordedResponse();
        return { response, done: gateway.handle(requestOf(`r${count}`, fields), response) };
    };
    return {
        gateway,
        suspicions,
        inform,
        begin,
        send: async (fields) => {
            const { response, done } = begin(fields);
            await done;
            return response;
        },
    };
};

/** The first group is in the daemon's own zone, so that requests prefer it. */
export const viewOf = ({ heads = [], servers = [], askForPlace }: GatewayFixtureOptions): FleetView => ({
    term: 1,
    version: 1,
    groups: heads.map(({ address }, index) => ({
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
    controllers: askForPlace === undefined ? [] : [{ daemonId: "control", zone: "z" }],
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
