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
    /** Closes the connection, which resets it if bytes of the request are unread. */
    Close: "close",
} as const;

export type Finish = typeof Finish[keyof typeof Finish];

/** How much of a request a raw server reads. */
export const Reading = {
    /** The whole request, before the response. */
    Whole: "whole",
    /** The head, before the response, and the body after it. */
    HeadFirst: "headFirst",
    /** The head only. */
    Head: "head",
} as const;

export type Reading = typeof Reading[keyof typeof Reading];

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
    /** Delay between `text` and `finish`. Default: 20 ms, so that the peer reads them separately. 0: in the same step. */
    finishDelayMs?: number;
    /** What is read of a request with `text` as its response. Default: the whole request. */
    reading?: Reading;
    /** Delay of `text` after what is read before it. Default: 0. */
    delayMs?: number;
    /** Size of the pieces that `text` is sent in, one after the other. Default: in one piece. */
    pieceBytes?: number;
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
const DEFAULT_FINISH_DELAY_MS = 20;
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
            const nextLength = (): number =>
                requestLength(received, scriptOf(script, requestCount + 1).reading);
            for (let length = nextLength(); length > 0; length = nextLength()) {
                raw.openConnectionCount += hasRequest ? 0 : 1;
                hasRequest = true;
                const request = received.slice(0, length);
                received = received.slice(length);
                const id = headerOf(request, "(?:x|greengageridge)-(?:request-)?id") ?? "";
                raw.receivedIds.push(id);
                raw.lastEventIds.push(headerOf(request, "x-last-event"));
                requestCount += 1;
                firstId ??= id;
                const current = scriptOf(script, requestCount);
                const text = current.text.replaceAll("{id}", id).replaceAll("{firstId}", firstId);
                respond(socket, { ...current, text });
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

/** What is sent for a request, which is number `requestNumber` on its connection. */
const scriptOf = ({ firstText, ...laterScript }: ByteScript, requestNumber: number): ByteScript =>
    firstText === undefined || requestNumber > 1 ? laterScript : { text: firstText };

/** Length of what is read of the first request in `received`; 0 while that is incomplete. */
const requestLength = (received: string, reading: Reading = Reading.Whole): number => {
    const start = /^[\r\n]*/.exec(received)?.[0].length ?? 0;
    const headEnd = received.indexOf(HEAD_END, start);
    if (headEnd < 0) {
        return 0;
    }
    if (reading !== Reading.Whole) {
        return headEnd + HEAD_END.length;
    }
    const length = headEnd + HEAD_END.length
        + Number(headerOf(received.slice(0, headEnd), "content-length") ?? 0);
    return received.length < length ? 0 : length;
};

/** Sends the response to a request. Nothing more of a request that is read up to its body is parsed. */
const respond = (socket: Socket, script: ByteScript): void => {
    const { reading = Reading.Whole, delayMs = 0 } = script;
    if (reading !== Reading.Whole) {
        socket.removeAllListeners("data").pause();
    }
    const sendNow = (): void => {
        send(socket, script);
        if (reading === Reading.HeadFirst) {
            socket.resume();
        }
    };
    if (delayMs === 0) {
        sendNow();
        return;
    }
    setTimeout(sendNow, delayMs);
};

const finishActions: Record<Finish, (socket: Socket) => void> = {
    [Finish.Open]: () => undefined,
    [Finish.End]: (socket) => void socket.end(),
    [Finish.Reset]: (socket) => void socket.resetAndDestroy(),
    [Finish.Close]: (socket) => void socket.destroy(),
};

const send = (socket: Socket, script: ByteScript): void => {
    const { text, pieceBytes = text.length } = script;
    socket.write(text.slice(0, pieceBytes), "latin1");
    if (pieceBytes < text.length) {
        setImmediate(() => send(socket, { ...script, text: text.slice(pieceBytes) }));
        return;
    }
    sendAfterText(socket, script);
};

const sendAfterText = (socket: Socket, script: ByteScript): void => {
    const { endless, intervalMs, finish = Finish.Open, finishDelayMs = DEFAULT_FINISH_DELAY_MS } = script;
    if (endless !== undefined && intervalMs !== undefined) {
        const timer = setInterval(() => socket.write(endless, "latin1"), intervalMs);
        socket.on("close", () => clearInterval(timer));
    }
    else if (endless !== undefined) {
        sendEndlessly(socket, endless);
    }
    else if (finishDelayMs === 0) {
        finishActions[finish](socket);
    }
    else {
        setTimeout(() => finishActions[finish](socket), finishDelayMs);
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

/** Frames `text` as one chunk of a body. */
export const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

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
        "before the last chunk": `${head}transfer-encoding: chunked\r\n\r\n${chunkOf(body)}`,
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
