import { monotonicMs } from "@greengage/base";
import { connect, type Socket } from "node:net";
import type { DirectionFault, LinkFault } from "./proxy.ts";

export type Direction = "toTarget" | "toSource";

export interface ProxiedConnectionOptions {
    source: string;
    socket: Socket;
    targetPort: number;
    /** Whether the reset of one side resets the other. Otherwise it ends the other. */
    forwardsResets: boolean;
    /** Returns the fault that is currently injected. */
    fault: () => LinkFault;
    onBytes: (direction: Direction, sizeBytes: number) => void;
    onClose: () => void;
}

/** One connection through a proxy. Each direction has its own fault. */
export class ProxiedConnection {
    readonly source: string;
    readonly #options: ProxiedConnectionOptions;
    readonly #target: Socket;
    readonly #forwarders: Forwarder[];
    #isClosed = false;

    constructor(options: ProxiedConnectionOptions) {
        this.#options = options;
        this.source = options.source;
        const { socket, fault } = options;
        this.#target = connect({ host: "127.0.0.1", port: options.targetPort, allowHalfOpen: true });
        socket.setNoDelay(true);
        this.#target.setNoDelay(true);
        const createForwarder = (direction: Direction, from: Socket, to: Socket): Forwarder =>
            new Forwarder({
                from,
                to,
                fault: () => fault()[direction],
                onBytes: (sizeBytes) => options.onBytes(direction, sizeBytes),
                onDataLoss: () => this.reset(),
                forwardsResets: options.forwardsResets,
            });
        this.#forwarders = [
            createForwarder("toTarget", socket, this.#target),
            createForwarder("toSource", this.#target, socket),
        ];
        for (const endpoint of [socket, this.#target]) {
            endpoint.on("error", () => endpoint.destroy());
            endpoint.once("close", () => this.#handleSocketClose());
        }
    }

    /** Sends queued bytes that the current fault no longer holds. */
    flush(): void {
        for (const forwarder of this.#forwarders) {
            forwarder.flush();
        }
    }

    reset(): void {
        resetSocket(this.#options.socket);
        resetSocket(this.#target);
        this.#notifyClosed();
    }

    #notifyClosed(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#options.onClose();
        }
    }

    #handleSocketClose(): void {
        if (this.#options.socket.destroyed && this.#target.destroyed) {
            this.#notifyClosed();
        }
    }
}

// Node.js leaks the handle of a socket that is reset while its FIN is being sent.
const resetSocket = (socket: Socket): void => {
    if (socket.destroyed || socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
};

interface QueuedChunk {
    chunk: Buffer;
    dueAtMs: number;
}

interface ForwarderOptions {
    from: Socket;
    to: Socket;
    fault: () => DirectionFault;
    onBytes: (sizeBytes: number) => void;
    /** Called after the fault has ended, when the sender sends or ends although earlier bytes were dropped, or was reset. */
    onDataLoss: () => void;
    forwardsResets: boolean;
}

/** Forwards the bytes of one direction of a connection in order. */
class Forwarder {
    readonly #options: ForwarderOptions;
    readonly #reorderShare = Math.random();
    #queue: QueuedChunk[] = [];
    #timer: NodeJS.Timeout | undefined;
    #hasLostData = false;
    #senderEnd: "none" | "half" | "closed" = "none";

    constructor(options: ForwarderOptions) {
        this.#options = options;
        const { from, to, forwardsResets } = options;
        from.once("error", ({ code }: NodeJS.ErrnoException) => {
            this.#hasLostData ||= forwardsResets && code === "ECONNRESET";
        });
        from.on("data", (chunk: Buffer) => this.#receive(chunk));
        from.once("end", () => this.#handleSenderEnd("half"));
        from.once("close", () => this.#handleSenderEnd("closed"));
        to.on("drain", () => from.resume());
        to.once("close", () => clearTimeout(this.#timer));
    }

    /** Sends the queued bytes that are due unless they are held, then forwards the end of the stream. */
    flush(): void {
        clearTimeout(this.#timer);
        const { to, fault, onDataLoss } = this.#options;
        const { mode } = fault();
        if (to.destroyed || mode === "hold") {
            return;
        }
        while (this.#queue[0] !== undefined && this.#queue[0].dueAtMs <= monotonicMs()) {
            this.#send((this.#queue.shift() as QueuedChunk).chunk);
        }
        const next = this.#queue[0];
        if (next !== undefined) {
            this.#timer = setTimeout(() => this.flush(), Math.max(1, next.dueAtMs - monotonicMs()));
            return;
        }
        if (this.#senderEnd === "none" || mode === "swallow") {
            return;
        }
        if (this.#hasLostData) {
            onDataLoss();
            return;
        }
        if (this.#senderEnd === "half") {
            to.end();
            return;
        }
        to.destroySoon();
    }

    #handleSenderEnd(end: "half" | "closed"): void {
        this.#senderEnd = end;
        this.flush();
    }

    #receive(chunk: Buffer): void {
        const { mode, delayMs, reorderMs } = this.#options.fault();
        if (mode === "swallow") {
            this.#hasLostData = true;
            return;
        }
        if (this.#hasLostData) {
            this.#options.onDataLoss();
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
