import { monotonicMs, type Timeline } from "@greengage/base";
import type { WebSocket } from "ws";
import { FrameDecoder, FrameEncoder } from "./codec.ts";
import { PeerCallError, PeerTimeoutError, PeerUnreachableError } from "./errors.ts";
import type { CallType, Frame, NoticeType } from "./messages.ts";

/** Callbacks for the frames of a connection. */
export interface FrameHandlers {
    handleCall(type: CallType, request: unknown, from: string): Promise<unknown>;
    handleNotice(type: NoticeType, notice: unknown, from: string): void;
    /** Called with the error before the connection is closed because of a frame that can't be read. */
    handleInvalidFrame(from: string, error: unknown): void;
    /** Adds the size of a frame to the traffic counters. */
    countBytes(direction: "sentBytes" | "receivedBytes", sizeBytes: number): void;
}

interface PendingCall {
    type: CallType;
    resolve(body: unknown): void;
    reject(error: Error): void;
    timer: NodeJS.Timeout;
}

/** Authenticated connection to a peer. Both sides can send calls over it. */
export class PeerConnection {
    readonly peerId: string;
    readonly #socket: WebSocket;
    readonly #handlers: FrameHandlers;
    readonly #timeline: Timeline;
    readonly #encoder = new FrameEncoder();
    readonly #decoder = new FrameDecoder();
    readonly #pendingCalls = new Map<number, PendingCall>();
    #nextCallId = 1;
    #lastReceivedAtMs = 0;

    constructor(peerId: string, socket: WebSocket, handlers: FrameHandlers, timeline: Timeline) {
        this.peerId = peerId;
        this.#socket = socket;
        this.#handlers = handlers;
        this.#timeline = timeline;
        socket.on("message", (data: Buffer) => this.#receive(data));
        socket.on("close", () => this.#rejectPendingCalls());
    }

    get isOpen(): boolean {
        return this.#socket.readyState === this.#socket.OPEN;
    }

    call(type: CallType, body: unknown, timeoutMs: number): Promise<unknown> {
        if (!this.isOpen) {
            return Promise.reject(new PeerUnreachableError(this.peerId));
        }
        const callId = this.#nextCallId++;
        const calledAtMs = monotonicMs();
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.#pendingCalls.delete(callId);
                this.#closeIfSilentSince(calledAtMs);
                reject(new PeerTimeoutError(this.peerId, type, timeoutMs));
            }, timeoutMs);
            this.#pendingCalls.set(callId, { type, resolve, reject, timer });
            this.#send({ kind: "call", callId, type, at: this.#timeline.tick(), body });
        });
    }

    notify(type: NoticeType, body: unknown): void {
        this.#send({ kind: "notice", type, at: this.#timeline.tick(), body });
    }

    close(): void {
        this.#socket.terminate();
    }

    /**
     * Closes the connection if nothing has been received since `sinceMs`, so that the next call opens a new one: a
     * connection can stop delivering data without a reset although new connections work.
     */
    #closeIfSilentSince(sinceMs: number): void {
        if (this.#lastReceivedAtMs < sinceMs) {
            this.close();
        }
    }

    #send(frame: Frame): void {
        if (this.isOpen) {
            const bytes = this.#encoder.encode(frame);
            this.#handlers.countBytes("sentBytes", bytes.length);
            this.#socket.send(bytes);
        }
    }

    #receive(data: Buffer): void {
        this.#lastReceivedAtMs = monotonicMs();
        this.#handlers.countBytes("receivedBytes", data.length);
        let frame: Frame;
        try {
            frame = this.#decoder.decode(data) as Frame;
            this.#timeline.observe(frame.at);
        }
        catch (error) {
            this.#handlers.handleInvalidFrame(this.peerId, error);
            this.close();
            return;
        }
        if (frame.kind === "call") {
            void this.#handleCall(frame.callId, frame.type, frame.body);
            return;
        }
        if (frame.kind === "notice") {
            this.#handlers.handleNotice(frame.type, frame.body, this.peerId);
            return;
        }
        this.#settleCall(frame);
    }

    async #handleCall(callId: number, type: CallType, request: unknown): Promise<void> {
        try {
            const body = await this.#handlers.handleCall(type, request, this.peerId);
            this.#send({ kind: "result", callId, at: this.#timeline.tick(), body });
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            this.#send({ kind: "failure", callId, at: this.#timeline.tick(), message });
        }
    }

    #settleCall(frame: Extract<Frame, { kind: "result" | "failure"; }>): void {
        const pending = this.#pendingCalls.get(frame.callId);
        if (pending === undefined) {
            // The call has already timed out.
            return;
        }
        this.#pendingCalls.delete(frame.callId);
        clearTimeout(pending.timer);
        if (frame.kind === "result") {
            pending.resolve(frame.body);
            return;
        }
        pending.reject(new PeerCallError(this.peerId, pending.type, frame.message));
    }

    #rejectPendingCalls(): void {
        for (const pending of this.#pendingCalls.values()) {
            clearTimeout(pending.timer);
            // The call was sent, so the peer may have executed it.
            pending.reject(new PeerTimeoutError(this.peerId, pending.type, 0));
        }
        this.#pendingCalls.clear();
    }
}
