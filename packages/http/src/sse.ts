import type { EventSink } from "@greengage/routing";
import type { ServerResponse } from "node:http";

/** Writes events of a stream to a caller. The headers go out with the first event. */
export class ResponseSink implements EventSink {
    readonly #response: ServerResponse;
    readonly #requestId: string;

    constructor(response: ServerResponse, requestId: string) {
        this.#response = response;
        this.#requestId = requestId;
    }

    write(events: Uint8Array): boolean {
        if (!this.#response.headersSent) {
            this.#response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": this.#requestId,
            });
        }
        return this.#response.write(events);
    }

    drained(): Promise<void> {
        return new Promise((resolve) => {
            this.#response.once("drain", resolve);
            this.#response.once("close", resolve);
        });
    }

    end(): void {
        this.#response.end("data: [DONE]\n\n");
    }
}

/** Collects a stream and builds the answer that a caller without streaming gets. */
export class CollectingSink implements EventSink {
    readonly #chunks: Uint8Array[] = [];

    write(events: Uint8Array): boolean {
        this.#chunks.push(events);
        return true;
    }

    async drained(): Promise<void> {
        return;
    }

    /** Chat completion object in the OpenAI format. */
    completion(model: string, requestId: string): object {
        const text = Buffer.concat(this.#chunks).toString("utf8");
        const deltas = text.split("\n\n").filter((event) => event.startsWith("data: "))
            .map((event) => JSON.parse(event.slice("data: ".length)) as ChatChunk);
        const content = deltas.map((delta) => delta.choices?.[0]?.delta?.content ?? "").join("");
        const finishReason = deltas.map((delta) => delta.choices?.[0]?.finish_reason).find(Boolean) ?? "stop";
        return {
            id: requestId,
            object: "chat.completion",
            model,
            choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finishReason }],
        };
    }
}

interface ChatChunk {
    choices?: { delta?: { content?: string; }; finish_reason?: string; }[];
}
