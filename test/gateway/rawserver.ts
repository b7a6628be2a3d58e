import type { ExecutionContext } from "ava";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** What a raw server sends after the last scripted byte. */
export const Finish = {
    /** Leaves the connection open. */
    Open: "open",
    End: "end",
    Reset: "reset",
} as const;

export type Finish = typeof Finish[keyof typeof Finish];

/** Bytes that a raw server sends in response to one request. */
export interface ByteScript {
    /** Response to the first request of each connection, which stays open. Default: `text`. */
    firstText?: string;
    /** Sent once. `{id}` stands for the id of the request, `{firstId}` for that of the first one on its connection. */
    text: string;
    /** Sent over and over after `text` until the peer closes the connection. */
    endless?: string;
    /** Interval between repetitions of `endless`. Default: as fast as the peer reads. */
    intervalMs?: number;
    /** What follows `text` if there is no `endless`. */
    finish?: Finish;
}

export interface RawServer {
    address: string;
    /** Ids of the received requests, in order. */
    receivedIds: string[];
    /** Value of `x-last-event` of each received request. */
    lastEventIds: (string | undefined)[];
    /** Number of connections so far. */
    connectionCount: number;
    /** Number of open connections that have carried a request. */
    openConnectionCount: number;
    /** Number of bytes that left this process towards the gateway. */
    sentBytes: number;
}

/** Size of one write of an endless script. */
const BLOCK_BYTES = 64 * 1024;
/** Delay between the last byte and the end of a connection, so that the peer reads them separately. */
const FINISH_DELAY_MS = 20;
const HEAD_END = "\r\n\r\n";

/** Starts a TCP server that responds to each HTTP request with the bytes of `script`. */
export const startRawServer = async (t: ExecutionContext, script: ByteScript): Promise<RawServer> => {
    const raw: RawServer = {
        address: "",
        receivedIds: [],
        lastEventIds: [],
        connectionCount: 0,
        openConnectionCount: 0,
        sentBytes: 0,
    };
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, (socket) => {
        let received = "";
        let hasRequest = false;
        let requestCount = 0;
        let firstId: string | undefined;
        raw.connectionCount += 1;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            raw.openConnectionCount -= hasRequest ? 1 : 0;
            raw.sentBytes += Math.max(0, socket.bytesWritten - socket.writableLength);
            sockets.delete(socket);
        });
        socket.on("data", (chunk) => {
            received += chunk.toString("latin1");
            for (let length = requestLength(received); length > 0; length = requestLength(received)) {
                raw.openConnectionCount += hasRequest ? 0 : 1;
                hasRequest = true;
                const request = received.slice(0, length);
                received = received.slice(length);
                const id = headerOf(request, "x-(?:request-)?id") ?? "";
                raw.receivedIds.push(id);
                raw.lastEventIds.push(headerOf(request, "x-last-event"));
                requestCount += 1;
                firstId ??= id;
                const { firstText, ...laterScript } = script;
                const current = firstText === undefined || requestCount > 1
                    ? laterScript
                    : { text: firstText };
                const text = current.text.replaceAll("{id}", id).replaceAll("{firstId}", firstId);
                send(socket, { ...current, text });
            }
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    raw.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.teardown(() => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
    });
    return raw;
};

const headerOf = (request: string, name: string): string | undefined =>
    new RegExp(`\\r\\n${name}: ?([^\\r\\n]*)`, "i").exec(request)?.[1];

/** Length of the first request in `received`; 0 while it is incomplete. */
const requestLength = (received: string): number => {
    const start = /^[\r\n]*/.exec(received)?.[0].length ?? 0;
    const headEnd = received.indexOf(HEAD_END, start);
    if (headEnd < 0) {
        return 0;
    }
    const length = headEnd + HEAD_END.length
        + Number(headerOf(received.slice(0, headEnd), "content-length") ?? 0);
    return received.length < length ? 0 : length;
};

const send = (socket: Socket, { text, endless, intervalMs, finish = Finish.Open }: ByteScript): void => {
    socket.write(text, "latin1");
    if (endless !== undefined && intervalMs !== undefined) {
        const timer = setInterval(() => socket.write(endless, "latin1"), intervalMs);
        socket.on("close", () => clearInterval(timer));
    }
    else if (endless !== undefined) {
        sendEndlessly(socket, endless);
    }
    else if (finish === Finish.End) {
        setTimeout(() => socket.end(), FINISH_DELAY_MS);
    }
    else if (finish === Finish.Reset) {
        setTimeout(() => socket.resetAndDestroy(), FINISH_DELAY_MS);
    }
};

const sendEndlessly = (socket: Socket, repeated: string): void => {
    const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)), "latin1");
    const sendBlock = (): void => {
        if (!socket.destroyed) {
            socket.write(block, () => setImmediate(sendBlock));
        }
    };
    sendBlock();
};

/**
 * Responses that break off in the middle of `head`, which ends with the line end of its last field, or in a short body, by
 * the place where they do.
 */
export const brokenOff = (head: string, body: string): Record<string, string> => {
    const lines = head.split("\r\n");
    const beforeLast = `${lines.slice(0, -2).join("\r\n")}\r\n`;
    const last = lines.at(-2) ?? "";
    return {
        "inside the status line": "HTTP/1.1 20",
        "after the status code": "HTTP/1.1 200",
        "after the status line": "HTTP/1.1 200 OK\r\n",
        "inside the name of a field": beforeLast + last.slice(0, 4),
        "after the name of a field": beforeLast + last.slice(0, last.indexOf(":") + 1),
        "inside the value of a field": beforeLast + last.slice(0, -1),
        "after the last field": head.slice(0, -2),
        "after the line end of the last field": head,
        "inside the blank line": `${head}\r`,
        "inside the name of the length": `${head}content-len`,
        "inside the value of the length": `${head}content-length: 1`,
        "after the length": `${head}content-length: ${body.length}\r\n`,
        "before the first byte of a body with a length": `${head}content-length: ${body.length}\r\n\r\n`,
        "before the last byte of a body with a length": `${head}content-length: ${body.length}\r\n\r\n${
            body.slice(0, -1)
        }`,
        "before the first chunk": `${head}transfer-encoding: chunked\r\n\r\n`,
        "before the last chunk": `${head}transfer-encoding: chunked\r\n\r\n${
            body.length.toString(16)
        }\r\n${body}\r\n`,
    };
};

/** Prints the port of a listener, then blocks, so that the kernel queues connections that nobody accepts. */
const BLOCKED_LISTENER = `
    require("node:net").createServer().listen({ port: 0, host: "127.0.0.1", backlog: 1 }, function () {
        require("node:fs").writeSync(1, String(this.address().port));
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
    });
`;
/** More connections than the queue of the listener holds. */
const QUEUED_CONNECTIONS = 8;

/** Starts a listener with a full queue, to which a connection neither opens nor fails. Returns its address. */
export const startBlockedListener = async (t: ExecutionContext): Promise<string> => {
    const child = spawn(process.execPath, ["-e", BLOCKED_LISTENER], { stdio: ["ignore", "pipe", "inherit"] });
    const [output] = await once(child.stdout, "data") as [Buffer];
    const port = Number(output.toString());
    const sockets = Array.from({ length: QUEUED_CONNECTIONS }, () => connect(port, "127.0.0.1"));
    sockets.forEach((socket) => socket.on("error", () => undefined));
    t.teardown(() => {
        sockets.forEach((socket) => socket.destroy());
        child.kill("SIGKILL");
    });
    await once(sockets[0] as Socket, "connect");
    return `127.0.0.1:${port}`;
};
