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
/** Idle time before TCP keep-alive probes; Node.js gives up ten seconds after that. */
const KEEP_ALIVE_DELAY_MS = 5_000;
/** A write that isn't passed on for this long has lost its peer; it also ends a stream that nobody reads. */
const WRITE_TIMEOUT_MS = 30_000;
/** Interval of pings while nothing is read, without which the loss of the peer would go unnoticed. */
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
    #pingTimer: NodeJS.Timeout | undefined;

    /** Takes over `socket`, which must be open. */
    constructor(socket: WebSocket) {
        super({ readableHighWaterMark: BUFFER_BYTES, writableHighWaterMark: BUFFER_BYTES });
        this.#socket = socket;
        tcpSocketOf(socket)?.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
        // The stream may fail before the code that gets it listens.
        this.on("error", () => undefined);
        socket.on("message", (data: RawData, isBinary: boolean) => this.#receive(data as Buffer, isBinary));
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
        clearInterval(this.#pingTimer);
        this.#pingTimer = undefined;
        this.#socket.resume();
    }

    override _write(
        chunk: Buffer,
        _encoding: BufferEncoding,
        callback: StreamCallback,
    ): void {
        void this.#send(chunk).then(() => callback(), callback);
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

    async #send(chunk: Buffer): Promise<void> {
        for (let offset = 0; offset < chunk.length; offset += MAX_MESSAGE_BYTES) {
            await this.#sendMessage(chunk.subarray(offset, offset + MAX_MESSAGE_BYTES));
        }
        this.#bytesWritten += chunk.length;
    }

    /** Resolves when the system has taken the bytes, which applies back-pressure. */
    #sendMessage(bytes: Buffer): Promise<void> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(
                () => this.destroy(new RelayStreamError("the peer takes no bytes")),
                WRITE_TIMEOUT_MS,
            );
            this.#socket.send(bytes, { binary: true }, (error) => {
                clearTimeout(timer);
                if (error instanceof Error) {
                    reject(error);
                }
                else {
                    resolve();
                }
            });
        });
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
        this.#bytesRead += data.length;
        if (!this.push(data)) {
            this.#socket.pause();
            this.#pingTimer ??= setInterval(() => this.#socket.ping(), PAUSED_PING_INTERVAL_MS).unref();
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
