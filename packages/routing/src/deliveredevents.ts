/** Events are parsed and dropped beyond this size, which bounds the memory of long answers. */
const KEPT_BYTES = 64 * 1024;

interface ChatEvent {
    choices?: {
        index?: number;
        delta?: { content?: string; tool_calls?: unknown; };
        finish_reason?: string;
    }[];
}

/** What a caller has received of a stream. Events are parsed only when the stream is resumed or long. */
export class DeliveredEvents {
    #chunks: Uint8Array[] = [];
    #sizeBytes = 0;
    #text = "";
    #tokens = 0;
    #isFinished = false;
    #isResumable = true;

    add(events: Uint8Array): void {
        this.#chunks.push(events);
        this.#sizeBytes += events.length;
        if (this.#sizeBytes > KEPT_BYTES) {
            this.#parse();
        }
    }

    /** Text and number of tokens that the caller has. */
    summary(): { text: string; tokens: number; isFinished: boolean; isResumable: boolean; } {
        this.#parse();
        return {
            text: this.#text,
            tokens: this.#tokens,
            isFinished: this.#isFinished,
            isResumable: this.#isResumable,
        };
    }

    #parse(): void {
        const events = Buffer.concat(this.#chunks).toString("utf8").split(/\r?\n\r?\n/);
        this.#chunks = [];
        this.#sizeBytes = 0;
        for (const event of events) {
            const data = event.split(/\r?\n/).filter((line) => line.startsWith("data:"))
                .map((line) => line.slice("data:".length)).join("\n");
            if (data !== "") {
                this.#take(data);
            }
        }
    }

    #take(data: string): void {
        let event: ChatEvent;
        try {
            event = JSON.parse(data) as ChatEvent;
        }
        catch {
            this.#isResumable = false;
            return;
        }
        for (const { index, delta, finish_reason: finishReason } of event.choices ?? []) {
            // The text of several choices, or a tool call, can't be given to an engine as text to go on from.
            this.#isResumable &&= (index ?? 0) === 0 && delta?.tool_calls === undefined;
            this.#isFinished ||= typeof finishReason === "string";
            if (delta?.content) {
                this.#text += delta.content;
                this.#tokens += 1;
            }
        }
    }
}
