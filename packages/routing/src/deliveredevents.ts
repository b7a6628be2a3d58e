import { ByteBuffer } from "@greengage/base";

/** Buffered events beyond this size are parsed and discarded to bound the memory used by long responses. */
const MAX_BUFFERED_BYTES = 64 * 1024;

interface ChatEvent {
    choices?: {
        index?: number;
        delta?: { content?: string; tool_calls?: unknown; };
        finish_reason?: string;
    }[];
}

/** Records the events of a stream that the caller has received. Parses them only if the stream is resumed or long. */
export class DeliveredEvents {
    readonly #events = new ByteBuffer(MAX_BUFFERED_BYTES);
    #text = "";
    #tokens = 0;
    #isFinished = false;
    #isResumable = true;

    add(events: Uint8Array): void {
        if (this.#events.append(events) === undefined) {
            return;
        }
        this.#parseBuffered();
        if (this.#events.append(events) !== undefined) {
            this.#parse(events);
        }
    }

    /** Text and number of tokens delivered so far. */
    summary(): { text: string; tokens: number; isFinished: boolean; isResumable: boolean; } {
        this.#parseBuffered();
        return {
            text: this.#text,
            tokens: this.#tokens,
            isFinished: this.#isFinished,
            isResumable: this.#isResumable,
        };
    }

    /** Gives the memory of the buffered events back. */
    clear(): void {
        this.#events.clear();
    }

    #parseBuffered(): void {
        this.#parse(this.#events.bytes);
        this.#events.clear();
    }

    #parse(events: Uint8Array): void {
        for (const data of splitEvents(events).map(dataOf)) {
            if (data !== "") {
                this.#addEvent(data);
            }
        }
    }

    #addEvent(data: string): void {
        let event: ChatEvent;
        try {
            event = JSON.parse(data) as ChatEvent;
        }
        catch {
            this.#isResumable = false;
            return;
        }
        for (const { index, delta, finish_reason: finishReason } of event.choices ?? []) {
            // An engine resumes from plain text, which can represent neither several choices nor a tool call.
            this.#isResumable &&= (index ?? 0) === 0 && delta?.tool_calls === undefined;
            this.#isFinished ||= typeof finishReason === "string";
            if (delta?.content) {
                this.#text += delta.content;
                this.#tokens += 1;
            }
        }
    }
}

/** Whether all events, except comments, carry a part of a chat completion. */
export const areChatEvents = (events: Uint8Array): boolean =>
    splitEvents(events).filter((event) => event.trim() !== "" && !isComment(event)).every((event) => {
        try {
            return Array.isArray((JSON.parse(dataOf(event)) as ChatEvent).choices);
        }
        catch {
            // Data that is no JSON belongs to no completion.
            return false;
        }
    });

const splitEvents = (events: Uint8Array): string[] =>
    Buffer.from(events).toString("utf8").split(/\r?\n\r?\n/);

const dataOf = (event: string): string =>
    event.split(/\r?\n/).filter((line) => line.startsWith("data:"))
        .map((line) => line.slice("data:".length)).join("\n");

const isComment = (event: string): boolean => event.split(/\r?\n/).every((line) => line.startsWith(":"));
