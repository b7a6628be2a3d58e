import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { RawData, WebSocket } from "ws";

/** Bytes that a stream buffers in each direction before it applies back-pressure. */
const BUFFER_BYTES = 32 * 1024;
/** Larger writes are split, since the receiver holds a whole message in memory. */
const MAX_MESSAGE_BYTES = 32 * 1024;
/** Text message that ends the bytes of one direction. */
const END_MESSAGE = "end";
/** Close code of a stream that has failed after the bytes sent so far. */
const FAILED_CLOSE_CODE = 1011;
/** Interval of pings, and of the checks that something has come from the peer. */
const PING_INTERVAL_MS = 5_000;
/** Consecutive checks without anything from the peer after which it is lost. They are counted, as this process may stand still. */
const MAX_SILENT_CHECKS = 3;
/** Interval of pings while nothing is read: without them, neither side would notice that the other is lost. */
const PAUSED_PING_INTERVAL_MS = 100;

type StreamCallback = Parameters<Duplex["_final"]>[0];

/**
 * Bytes in both directions over a WebSocket: binary messages, and one text message that ends a direction. A connection that
 * closes without that message is an error, never the regular end.
 */
export class RelayStream extends Duplex {
    readonly #socket: WebSocket;
    #bytesRead = 0;
    #bytesWritten = 0;
    /** Whether the peer has ended its direction. */
    #isEnded = false;
    #isFailing = false;
    #pausedPingTimer: NodeJS.Timeout | undefined;
    readonly #pingTimer: NodeJS.Timeout;
    #silentCheckCount = 0;

    /** Takes over `socket`, which must be open. */
    constructor(socket: WebSocket, pingIntervalMs = PING_INTERVAL_MS) {
        super({ readableHighWaterMark: BUFFER_BYTES, writableHighWaterMark: BUFFER_BYTES });
        this.#socket = socket;
        this.#pingTimer = setInterval(() => this.#checkPeer(), pingIntervalMs).unref();
        // The stream may fail before the code that gets it listens.
        this.on("error", () => undefined);
        socket.on("message", (data: RawData, isBinary: boolean) => this.#receive(data as Buffer, isBinary));
        socket.on("ping", () => this.#recordSign());
        socket.on("pong", () => this.#recordSign());
        socket.on("error", (error) => this.destroy(error));
        socket.once("close", (code: number) => this.#handleClose(code));
    }

    /** Bytes received so far. */
    get bytesRead(): number {
        return this.#bytesRead;
    }

    /** Bytes passed on to the connection so far. */
    get bytesWritten(): number {
        return this.#bytesWritten;
    }

    /** Lets the process end while the stream is open. */
    unref(): this {
        tcpSocketOf(this.#socket)?.unref();
        return this;
    }

    ref(): this {
        tcpSocketOf(this.#socket)?.ref();
        return this;
    }

    override _read(): void {
        clearInterval(this.#pausedPingTimer);
        this.#pausedPingTimer = undefined;
        this.#recordSign();
        this.#socket.resume();
    }

    override _write(
        chunk: Buffer,
        _encoding: BufferEncoding,
        callback: StreamCallback,
    ): void {
        this.#sendFrom(chunk, 0, callback);
    }

    override _writev(
        chunks: { chunk: Buffer; }[],
        callback: StreamCallback,
    ): void {
        this._write(Buffer.concat(chunks.map(({ chunk }) => chunk)), "binary", callback);
    }

    override _final(callback: StreamCallback): void {
        this.#socket.send(END_MESSAGE, callback);
    }

    override _destroy(error: Parameters<Duplex["_destroy"]>[0], callback: StreamCallback): void {
        clearInterval(this.#pingTimer);
        clearInterval(this.#pausedPingTimer);
        if (this.#isFailing) {
            this.#closeAfterWrites(FAILED_CLOSE_CODE);
        }
        else if (this.#isEnded && this.writableFinished) {
            this.#closeAfterWrites();
        }
        else {
            this.#socket.terminate();
        }
        callback(error);
    }

    /** Destroys the stream. The peer gets an error, but after the bytes that have been passed on. */
    fail(error: Error): void {
        this.#isFailing = true;
        this.destroy(error);
    }

    #closeAfterWrites(code?: number): void {
        this.#socket.close(code);
        this.#socket.resume();
    }

    /** Sends a chunk in messages of limited size. The system takes each before the next, which applies back-pressure. */
    #sendFrom(chunk: Buffer, offsetBytes: number, callback: StreamCallback): void {
        const message = chunk.subarray(offsetBytes, offsetBytes + MAX_MESSAGE_BYTES);
        this.#socket.send(message, { binary: true }, (error) => {
            if (error instanceof Error) {
                callback(error);
                return;
            }
            this.#bytesWritten += message.length;
            const sentBytes = offsetBytes + message.length;
            if (sentBytes < chunk.length) {
                this.#sendFrom(chunk, sentBytes, callback);
            }
            else {
                callback();
            }
        });
    }

    /** Pings the peer. A peer that reads nothing doesn't answer pings, but sends its own. */
    #checkPeer(): void {
        if (this.#pausedPingTimer !== undefined || this.#socket.readyState !== this.#socket.OPEN) {
            return;
        }
        this.#silentCheckCount += 1;
        if (this.#silentCheckCount > MAX_SILENT_CHECKS) {
            this.destroy(new RelayStreamError("the peer is silent"));
            return;
        }
        this.#socket.ping();
    }

    #recordSign(): void {
        this.#silentCheckCount = 0;
    }

    #receive(data: Buffer, isBinary: boolean): void {
        if (this.destroyed || this.#isEnded) {
            return;
        }
        if (!isBinary) {
            this.#isEnded = true;
            this.push(null);
            return;
        }
        this.#recordSign();
        this.#bytesRead += data.length;
        if (!this.push(data)) {
            this.#socket.pause();
            this.#pausedPingTimer ??= setInterval(() => this.#socket.ping(), PAUSED_PING_INTERVAL_MS).unref();
        }
    }

    #handleClose(code: number): void {
        if (this.destroyed) {
            return;
        }
        if (!this.#isEnded) {
            this.destroy(new RelayStreamError(`the relayed connection failed (${code})`));
            return;
        }
        // The reader gets the bytes that are buffered, and their end, first.
        if (this.readableEnded) {
            this.destroy();
        }
        else {
            this.once("end", () => this.destroy());
        }
    }
}

/** A relayed connection failed, at the relay or on the way to it. It has no `code`, since HTTP clients read meaning into some. */
export class RelayStreamError extends Error {
    override readonly name = "RelayStreamError";
}

/** TCP socket of a WebSocket, for which `ws` has no public access. */
const tcpSocketOf = (socket: WebSocket): Socket | undefined =>
    (socket as unknown as { _socket?: Socket; })._socket;
