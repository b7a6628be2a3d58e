import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** Bytes that never form a complete response. */
export interface EndlessBytes {
    /** Sent first. */
    start: (requestId: string) => string;
    /** Repeated until the client closes. */
    block: string;
}

const headOf = (requestId: string, ...fields: string[]): string =>
    [
        "HTTP/1.1 200 OK",
        `greengageridge-request-id: ${requestId}`,
        "greengageridge-response-stamp: stamp",
        ...fields,
        "",
        "",
    ].join("\r\n");

const oneByteChunks = "1\r\nx\r\n".repeat(5_000);
const chunked = "transfer-encoding: chunked";

/** Responses without end, by what is repeated in them. */
export const endlessResponses: Record<string, EndlessBytes> = {
    "chunks of one byte": { start: (id) => headOf(id, chunked), block: oneByteChunks },
    "large chunks": { start: (id) => headOf(id, chunked), block: `8000\r\n${"x".repeat(32_768)}\r\n` },
    "an event in chunks of one byte": {
        start: (id) => headOf(id, chunked, "content-type: text/event-stream"),
        block: oneByteChunks,
    },
    "bytes without a length": { start: (id) => headOf(id), block: "x".repeat(32_768) },
    "fields of the head": {
        start: (id) => headOf(id).slice(0, -2),
        block: "x: y\r\n".repeat(5_000),
    },
    "one field of the head": { start: () => "HTTP/1.1 200 OK\r\nx: ", block: "x".repeat(32_768) },
    "interim responses": { start: () => "", block: "HTTP/1.1 102 Processing\r\nx: y\r\n\r\n".repeat(1_000) },
    "a chunk extension": { start: (id) => `${headOf(id, chunked)}1;`, block: "x".repeat(32_768) },
    trailers: { start: (id) => `${headOf(id, chunked)}0\r\n`, block: "x: y\r\n".repeat(5_000) },
};

/** Faulty server that sends bytes without end in response to each request. */
export class EndlessServer {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    readonly #bytes: EndlessBytes;
    /** Number of requests that have been answered with endless bytes. */
    requestCount = 0;

    constructor(bytes: EndlessBytes) {
        this.#bytes = bytes;
        this.#server = createServer((socket) => this.#serve(socket));
    }

    static async start(t: ExecutionContext, bytes: EndlessBytes): Promise<EndlessServer> {
        const server = new EndlessServer(bytes);
        server.#server.listen(0, "127.0.0.1");
        await once(server.#server, "listening");
        t.teardown(() => {
            server.#sockets.forEach((socket) => socket.destroy());
            server.#server.close();
        });
        return server;
    }

    /** `host:port`. */
    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    #serve(socket: Socket): void {
        this.#sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => this.#sockets.delete(socket));
        let received = "";
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString("latin1");
            if (received.includes("\r\n\r\n")) {
                const requestId = /greengageridge-request-id: (\S+)/i.exec(received)?.[1] ?? "";
                received = "";
                this.requestCount += 1;
                socket.write(this.#bytes.start(requestId));
                this.#flood(socket);
            }
        });
    }

    #flood(socket: Socket): void {
        while (!socket.destroyed && socket.write(this.#bytes.block)) {
            // The socket takes more.
        }
        if (!socket.destroyed) {
            socket.once("drain", () => this.#flood(socket));
        }
    }
}
