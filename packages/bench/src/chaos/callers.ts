import type { Random } from "@greengage/base";
import { sleep } from "@greengage/base";
import { tokenOf } from "@greengage/standins";
import { request } from "undici";
import { CALLER_KEY, type Cluster } from "../cluster.ts";
import { VMS_PER_REPLICA } from "./fleet.ts";
import type { Violations } from "./violations.ts";

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 150;
const ANSWER_TIMEOUT_MS = 12_000;
const MIN_ANSWER_TOKENS = 4;
const MAX_ANSWER_TOKENS = 80;
const DISCONNECT_PROBABILITY = 0.03;

/** Outcome of a chat request. */
export interface ChatOutcome {
    isComplete: boolean;
    status: number;
}

/** Sends chat requests through random daemons, retries after errors, and checks each answer. */
export class ChatCallers {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #random: Random;
    readonly statusCounts = new Map<string, number>();
    /** Refusals by status and detail, with the daemon and time of the first one. */
    readonly refusals = new Map<string, string>();
    requests = 0;
    completeAnswers = 0;
    #nextQuestion = 0;

    constructor(cluster: Cluster, violations: Violations, random: Random) {
        this.#cluster = cluster;
        this.#violations = violations;
        this.#random = random;
    }

    /** Runs one caller until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#chatUntilComplete(signal);
            await sleep(this.#random.nextInt(150), signal);
        }
    }

    /** Sends one chat request to a daemon and checks the answer. */
    async chat(daemon: { url: string; }, text = `question ${this.#nextQuestion++}`): Promise<ChatOutcome> {
        const messages = [{ role: "user", content: `${text} of ${this.#cluster.folder}` }];
        const tokenCount = MIN_ANSWER_TOKENS + this.#random.nextInt(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS);
        const expectedTokens = Array.from({ length: tokenCount }, (_, index) => tokenOf(messages, index));
        const isStreamed = this.#random.nextInt(5) > 0;
        const model = this.#random.pick(Object.keys(VMS_PER_REPLICA));
        const timeoutMs = this.#random.nextFloat() < DISCONNECT_PROBABILITY
            ? this.#random.nextInt(400)
            : ANSWER_TIMEOUT_MS;
        this.requests += 1;
        try {
            const response = await request(`${daemon.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${CALLER_KEY}`, "content-type": "application/json" },
                body: JSON.stringify({ model, stream: isStreamed, messages, max_tokens: tokenCount }),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const body = await response.body.text();
            const { statusCode: status } = response;
            const isComplete = status === 200
                && (isStreamed
                    ? this.#checkStream(body, expectedTokens)
                    : this.#checkCompletion(body, expectedTokens));
            if (status !== 200) {
                this.#recordRefusal(status, body, daemon.url);
            }
            this.#countStatus(isComplete ? "whole" : status === 200 ? "cut" : String(status));
            return { isComplete, status };
        }
        catch {
            this.#countStatus("none");
            return { isComplete: false, status: 0 };
        }
    }

    #recordRefusal(status: number, body: string, url: string): void {
        const { detail } = JSON.parse(body) as { detail?: string; };
        const key = `${status} ${detail ?? ""}`;
        if (!this.refusals.has(key)) {
            const daemon = this.#cluster.daemons.find((candidate) => candidate.url === url);
            this.refusals.set(key, `${daemon?.daemonId ?? url} at ${new Date().toISOString()}`);
        }
    }

    #countStatus(status: string): void {
        this.statusCounts.set(status, (this.statusCounts.get(status) ?? 0) + 1);
        this.completeAnswers += status === "whole" ? 1 : 0;
    }

    async #chatUntilComplete(signal: AbortSignal): Promise<void> {
        const text = `question ${this.#nextQuestion++}`;
        for (let attempts = 0; attempts < MAX_ATTEMPTS && !signal.aborted; attempts += 1) {
            const { isComplete } = await this.chat(this.#random.pick(this.#cluster.daemons), text);
            if (isComplete) {
                return;
            }
            await sleep(RETRY_DELAY_MS, signal);
        }
    }

    /** Checks a streamed answer. Returns whether it ended with the `[DONE]` marker. */
    #checkStream(body: string, expectedTokens: string[]): boolean {
        const events = body.split("\n\n").filter((event) => event.startsWith("data: {"));
        const hasEndMarker = body.endsWith("data: [DONE]\n\n");
        if (events.some((event) => event.includes("\"error\"")) && hasEndMarker) {
            this.#violations.add("P3 error event in a complete answer", body.slice(-300));
        }
        const tokens: string[] = [];
        for (const event of events) {
            try {
                const chunk = JSON.parse(event.slice("data: ".length)) as ChatChunk;
                const token = chunk.choices?.[0]?.delta?.content;
                tokens.push(...(token === undefined || token === "" ? [] : [token]));
            }
            catch {
                // The stream broke off in the middle of an event.
            }
        }
        const text = tokens.join("");
        const expectedText = expectedTokens.join("");
        if (!expectedText.startsWith(text)) {
            this.#violations.add(
                "P3 wrong answer",
                `got ${text.slice(-120)}, expected ${expectedText.slice(0, 60)}`,
            );
        }
        if (hasEndMarker && text !== expectedText) {
            this.#violations.add(
                "P3 complete answer lacks tokens",
                `${tokens.length} of ${expectedTokens.length} tokens`,
            );
        }
        return hasEndMarker;
    }

    #checkCompletion(body: string, expectedTokens: string[]): boolean {
        const completion = JSON.parse(body) as Completion;
        const content = completion.choices?.[0]?.message?.content;
        if (content !== expectedTokens.join("")) {
            this.#violations.add("P3 wrong non-streamed answer", body.slice(0, 200));
        }
        return true;
    }
}

interface ChatChunk {
    choices?: { delta?: { content?: string; }; }[];
}

interface Completion {
    choices?: { message?: { content?: string; }; }[];
}
