import { write } from "node:fs";

const STDOUT_DESCRIPTOR = 1;
/** Lines beyond this are dropped, so that a stalled reader of the log can't exhaust the daemon's memory. */
const MAX_BUFFERED_BYTES = 512 * 1024;
/** Delay during which lines are collected for one write, which costs a system call and a thread pool task. */
const FLUSH_DELAY_MS = 100;

export interface LogWriterOptions {
    /** Default: standard output. */
    descriptor?: number;
    /** Default: 512 KiB. */
    maxBufferedBytes?: number;
}

/** Buffered, non-blocking writer of log lines. Lines beyond the buffer limit are dropped and reported as a count. */
export class LogWriter {
    readonly #descriptor: number;
    readonly #maxBufferedBytes: number;
    #bufferedLines: string[] = [];
    #bufferedBytes = 0;
    #droppedCount = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: LogWriterOptions = {}) {
        this.#descriptor = options.descriptor ?? STDOUT_DESCRIPTOR;
        this.#maxBufferedBytes = options.maxBufferedBytes ?? MAX_BUFFERED_BYTES;
    }

    /** Number of dropped lines that no `log.dropped` line has reported yet. */
    get droppedCount(): number {
        return this.#droppedCount;
    }

    /** Adds a line; `line` must not end in a newline. */
    add(line: string): void {
        if (this.#bufferedBytes + line.length > this.#maxBufferedBytes) {
            this.#droppedCount += 1;
            return;
        }
        this.#bufferedLines.push(line);
        this.#bufferedBytes += line.length + 1;
        if (!this.#isWriting) {
            this.#timer ??= setTimeout(() => this.#writeBufferedLines(), FLUSH_DELAY_MS).unref();
        }
    }

    /** Resolves once all buffered lines are written. Call it before the process exits. */
    async flush(): Promise<void> {
        while (this.#bufferedLines.length > 0 || this.#isWriting) {
            this.#writeBufferedLines();
            await new Promise((resolve) => setTimeout(resolve, 1));
        }
    }

    #writeBufferedLines(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        if (this.#isWriting || this.#bufferedLines.length === 0) {
            return;
        }
        if (this.#droppedCount > 0) {
            this.#bufferedLines.push(JSON.stringify({ event: "log.dropped", lines: this.#droppedCount }));
            this.#droppedCount = 0;
        }
        const bytes = Buffer.from(`${this.#bufferedLines.join("\n")}\n`, "utf8");
        this.#bufferedLines = [];
        this.#bufferedBytes = 0;
        this.#isWriting = true;
        this.#write(bytes, 0);
    }

    #write(bytes: Buffer, offset: number): void {
        write(this.#descriptor, bytes, offset, bytes.length - offset, undefined, (error, writtenBytes) => {
            const isPartial = error === null && offset + writtenBytes < bytes.length;
            if (isPartial) {
                this.#write(bytes, offset + writtenBytes);
                return;
            }
            this.#isWriting = false;
            this.#writeBufferedLines();
        });
    }
}
