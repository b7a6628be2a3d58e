import { ByteBuffer, ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { EventSink } from "@greengage/routing";

interface ToolCallDelta {
    index?: number;
    id?: string;
    type?: string;
    function?: { name?: string; arguments?: string; };
}

interface ChunkChoice {
    index?: number;
    delta?: { content?: string; refusal?: string; tool_calls?: ToolCallDelta[]; };
    finish_reason?: string;
}

interface ChatChunk {
    id?: string;
    created?: number;
    system_fingerprint?: string;
    usage?: object;
    choices?: ChunkChoice[];
}

interface ToolCall {
    id: string;
    type: string;
    function: { name: string; arguments: string; };
}

interface Choice {
    content: string;
    refusal: string;
    toolCalls: ToolCall[];
    finishReason: string | undefined;
}

const DATA_PREFIX = "data:";
const MAX_COMPLETION_BYTES = 16 * 1024 * 1024;

const parseChunk = (event: string): ChatChunk | undefined => {
    const lines = event.split("\n").filter((line) => line.startsWith(DATA_PREFIX));
    const data = lines.map((line) => line.slice(DATA_PREFIX.length).trim()).join("\n");
    return data === "" ? undefined : JSON.parse(data) as ChatChunk;
};

/** Collects the events of a stream to build a response without streaming. */
export class CollectingSink implements EventSink {
    readonly #events = new ByteBuffer(MAX_COMPLETION_BYTES);
    readonly #overflow = new AbortController();

    /** Aborts when the events exceed `MAX_COMPLETION_BYTES`, or the memory left for them. */
    get overflow(): AbortSignal {
        return this.#overflow.signal;
    }

    /** Gives the memory of the events back. */
    clear(): void {
        this.#events.clear();
    }

    write(events: Uint8Array): boolean {
        if (this.#events.append(events) !== undefined) {
            this.#overflow.abort();
        }
        return true;
    }

    async drained(): Promise<void> {
        return;
    }

    /** Throws `backend-failed` after an overflow. */
    checkOverflow(): void {
        if (this.overflow.aborted) {
            throw new GreengageError("the completion is too large for a response without streaming", {
                code: ErrorCode.BackendFailed,
                verdict: Verdict.MayHaveRun,
            });
        }
    }

    /** Builds a chat completion object in the OpenAI format. `usage` is present if the engine reported it. */
    completion(options: { model: string; requestId: string; createdS: number; }): object {
        const text = this.#events.bytes.toString("utf8");
        const chunks = text.split(/\r?\n\r?\n/).map(parseChunk).filter((chunk) => chunk !== undefined);
        const choices = new Map<number, Choice>();
        for (const choice of chunks.flatMap((chunk) => chunk.choices ?? [])) {
            addDelta(choices, choice);
        }
        return {
            id: chunks.find((chunk) => chunk.id)?.id ?? options.requestId,
            object: "chat.completion",
            created: chunks.find((chunk) => chunk.created)?.created ?? options.createdS,
            model: options.model,
            choices: [...choices].sort(([a], [b]) => a - b).map(([index, choice]) =>
                formatChoice(index, choice)
            ),
            usage: chunks.findLast((chunk) => chunk.usage)?.usage,
            system_fingerprint: chunks.find((chunk) => chunk.system_fingerprint)?.system_fingerprint,
        };
    }
}

const addDelta = (choices: Map<number, Choice>, { index = 0, delta, finish_reason }: ChunkChoice): void => {
    const choice = choices.get(index) ?? { content: "", refusal: "", toolCalls: [], finishReason: undefined };
    choices.set(index, choice);
    choice.content += delta?.content ?? "";
    choice.refusal += delta?.refusal ?? "";
    choice.finishReason = finish_reason ?? choice.finishReason;
    for (const call of delta?.tool_calls ?? []) {
        addToolCall(choice.toolCalls, call);
    }
};

const addToolCall = (calls: ToolCall[], { index = 0, id, type, function: part }: ToolCallDelta): void => {
    const call = calls[index] ?? { id: "", type: "function", function: { name: "", arguments: "" } };
    calls[index] = call;
    call.id += id ?? "";
    call.type = type ?? call.type;
    call.function.name += part?.name ?? "";
    call.function.arguments += part?.arguments ?? "";
};

const formatChoice = (index: number, choice: Choice): object => ({
    index,
    message: {
        role: "assistant",
        content: choice.content,
        refusal: choice.refusal || undefined,
        tool_calls: choice.toolCalls.length > 0 ? choice.toolCalls : undefined,
    },
    finish_reason: choice.finishReason ?? "stop",
});
