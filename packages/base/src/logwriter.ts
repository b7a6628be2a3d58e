import { write } from "node:fs";

const STDOUT_DESCRIPTOR = 1;
/** Lines that wait beyond this are dropped: a reader that stalls must not take the daemon's memory. */
const MAX_WAITING_BYTES = 512 * 1024;
/** Lines of this time go out in one write, which costs a system call and a turn of a thread. */
const BATCH_MS = 100;

export interface LogWriterOptions {
    /** Default: standard output. */
    descriptor?: number;
    /** Default: 512 KiB. */
    maxWaitingBytes?: number;
}

/** Writes log lines without ever blocking the event loop. What doesn't fit is dropped and counted in a line. */
export class LogWriter {
    readonly #descriptor: number;
    readonly #maxWaitingBytes: number;
    #waiting: string[] = [];
    #waitingBytes = 0;
    #droppedCount = 0;
    #isWriting = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: LogWriterOptions = {}) {
        this.#descriptor = options.descriptor ?? STDOUT_DESCRIPTOR;
        this.#maxWaitingBytes = options.maxWaitingBytes ?? MAX_WAITING_BYTES;
    }

    /** Lines that were dropped and not yet reported. */
    get droppedCount(): number {
        return this.#droppedCount;
    }

    /** Adds one line, without its line end. */
    add(line: string): void {
        if (this.#waitingBytes + line.length > this.#maxWaitingBytes) {
            this.#droppedCount += 1;
            return;
        }
        this.#waiting.push(line);
        this.#waitingBytes += line.length + 1;
        if (!this.#isWriting) {
            this.#timer ??= setTimeout(() => this.#writeNext(), BATCH_MS).unref();
        }
    }

    /** Writes what waits, before the process ends. */
    async flush(): Promise<void> {
        while (this.#waiting.length > 0 || this.#isWriting) {
            this.#writeNext();
            await new Promise((resolve) => setTimeout(resolve, 1));
        }
    }

    #writeNext(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        if (this.#isWriting || this.#waiting.length === 0) {
            return;
        }
        if (this.#droppedCount > 0) {
            this.#waiting.push(JSON.stringify({ event: "log.dropped", lines: this.#droppedCount }));
            this.#droppedCount = 0;
        }
        const bytes = Buffer.from(`${this.#waiting.join("\n")}\n`, "utf8");
        this.#waiting = [];
        this.#waitingBytes = 0;
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
            this.#writeNext();
        });
    }
}
