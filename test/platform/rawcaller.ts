import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** Caller that writes the bytes of its requests itself, so that it can stop in the middle of one. */
export class RawCaller {
    readonly #socket: Socket;
    #received = "";
    readonly closed: Promise<void>;

    constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("data", (chunk: Buffer) => {
            this.#received += chunk.toString("latin1");
        });
        socket.on("error", () => undefined);
        this.closed = new Promise((resolve) => socket.once("close", () => resolve()));
    }

    static async open(t: ExecutionContext, address: string): Promise<RawCaller> {
        const [host = "", port = ""] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        t.teardown(() => socket.destroy());
        const caller = new RawCaller(socket);
        await once(socket, "connect");
        return caller;
    }

    get received(): string {
        return this.#received;
    }

    get isClosed(): boolean {
        return this.#socket.destroyed;
    }

    close(): void {
        this.#socket.destroy();
    }

    /** Has no effect on a closed connection. */
    send(text: string): void {
        if (!this.#socket.destroyed) {
            this.#socket.write(text);
        }
    }
}

export interface RawRequestOptions {
    path: string;
    headers: Record<string, string>;
    body: string;
}

/** Bytes of a POST request. */
export const formatRequest = ({ path, headers, body }: RawRequestOptions): string =>
    [
        `POST ${path} HTTP/1.1`,
        ...Object.entries({ ...headers, "content-length": String(body.length) }).map(([name, value]) =>
            `${name}: ${value}`
        ),
        "",
        body,
    ].join("\r\n");

export interface RawResponse {
    status: number;
    head: string;
    /** Whether the length of the body or its last chunk shows that nothing is missing. */
    isComplete: boolean;
}

/** Parses the first response in `text`. Undefined if its head is incomplete. */
export const parseResponse = (text: string): RawResponse | undefined => {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const head = text.slice(0, headEnd).toLowerCase();
    const body = text.slice(headEnd + 4);
    const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
    return {
        status: Number(head.split(" ")[1]),
        head,
        isComplete: length === undefined ? body.endsWith("\r\n0\r\n\r\n") : body.length >= Number(length),
    };
};

/** Parses the responses in `text`, which may be incomplete after the last one. */
export const parseResponses = (text: string): RawResponse[] =>
    text.split(/(?=HTTP\/1\.1 \d{3} )/).map(parseResponse).filter((response) => response !== undefined);
