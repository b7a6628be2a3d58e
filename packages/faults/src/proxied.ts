import { monotonicMs } from "@greengage/base";
import { connect, type Socket } from "node:net";
import type { DirectionFault, LinkFault } from "./proxy.ts";

export type Direction = "toTarget" | "toSource";

export interface ProxiedConnectionOptions {
    source: string;
    socket: Socket;
    targetPort: number;
    /** Fault that holds now. */
    fault: () => LinkFault;
    onBytes: (direction: Direction, sizeBytes: number) => void;
    onClose: () => void;
}

/** One connection through a proxy: two lanes of bytes, each with its own fault. */
export class ProxiedConnection {
    readonly source: string;
    readonly #options: ProxiedConnectionOptions;
    readonly #target: Socket;
    readonly #lanes: Lane[];
    #isClosed = false;

    constructor(options: ProxiedConnectionOptions) {
        this.#options = options;
        this.source = options.source;
        const { socket, fault } = options;
        this.#target = connect({ host: "127.0.0.1", port: options.targetPort, allowHalfOpen: true });
        socket.setNoDelay(true);
        this.#target.setNoDelay(true);
        const lane = (direction: Direction, from: Socket, to: Socket): Lane =>
            new Lane({
                from,
                to,
                fault: () => fault()[direction],
                onBytes: (sizeBytes) => options.onBytes(direction, sizeBytes),
                onGap: () => this.reset(),
            });
        this.#lanes = [
            lane("toTarget", socket, this.#target),
            lane("toSource", this.#target, socket),
        ];
        for (const side of [socket, this.#target]) {
            side.on("error", () => side.destroy());
            side.once("close", () => this.#sideClosed());
        }
    }

    /** Sends what a fault no longer holds back. */
    flush(): void {
        for (const lane of this.#lanes) {
            lane.flush();
        }
    }

    reset(): void {
        resetSocket(this.#options.socket);
        resetSocket(this.#target);
        this.#finish();
    }

    #finish(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#options.onClose();
        }
    }

    #sideClosed(): void {
        if (this.#options.socket.destroyed && this.#target.destroyed) {
            this.#finish();
        }
    }
}

// Node.js leaks the handle of a socket that is reset while its end is being sent.
const resetSocket = (socket: Socket): void => {
    if (socket.destroyed || socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
};

interface Queued {
    chunk: Buffer;
    dueAtMs: number;
}

interface LaneOptions {
    from: Socket;
    to: Socket;
    fault: () => DirectionFault;
    onBytes: (sizeBytes: number) => void;
    /** Bytes follow that were sent after lost ones, and the fault has ended. */
    onGap: () => void;
}

/** Bytes of one direction of one connection, in order. */
class Lane {
    readonly #options: LaneOptions;
    readonly #reorderShare = Math.random();
    #queue: Queued[] = [];
    #timer: NodeJS.Timeout | undefined;
    #isLossy = false;
    #end: "none" | "half" | "closed" = "none";

    constructor(options: LaneOptions) {
        this.#options = options;
        const { from, to } = options;
        from.on("data", (chunk: Buffer) => this.#take(chunk));
        from.once("end", () => this.#fromEnded("half"));
        from.once("close", () => this.#fromEnded("closed"));
        to.on("drain", () => from.resume());
        to.once("close", () => clearTimeout(this.#timer));
    }

    /** Sends what is due and not held back, then passes on the end of the sending side. */
    flush(): void {
        clearTimeout(this.#timer);
        const { to, fault, onGap } = this.#options;
        const { mode } = fault();
        if (to.destroyed || mode === "hold") {
            return;
        }
        while (this.#queue[0] !== undefined && this.#queue[0].dueAtMs <= monotonicMs()) {
            this.#send((this.#queue.shift() as Queued).chunk);
        }
        const next = this.#queue[0];
        if (next !== undefined) {
            this.#timer = setTimeout(() => this.flush(), Math.max(1, next.dueAtMs - monotonicMs()));
            return;
        }
        if (this.#end === "none" || mode === "swallow") {
            return;
        }
        if (this.#isLossy) {
            onGap();
            return;
        }
        if (this.#end === "half") {
            to.end();
            return;
        }
        to.destroySoon();
    }

    #fromEnded(end: "half" | "closed"): void {
        this.#end = end;
        this.flush();
    }

    #take(chunk: Buffer): void {
        const { mode, delayMs, reorderMs } = this.#options.fault();
        if (mode === "swallow") {
            this.#isLossy = true;
            return;
        }
        if (this.#isLossy) {
            this.#options.onGap();
            return;
        }
        const dueAtMs = monotonicMs() + delayMs + reorderMs * this.#reorderShare;
        this.#queue.push({ chunk, dueAtMs });
        this.flush();
    }

    #send(chunk: Buffer): void {
        const { from, to, onBytes } = this.#options;
        onBytes(chunk.length);
        if (!to.write(chunk)) {
            from.pause();
        }
    }
}
