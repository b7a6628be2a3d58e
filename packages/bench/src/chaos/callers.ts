import type { Random } from "@greengage/base";
import { sleep } from "@greengage/base";
import { tokenOf } from "@greengage/standins";
import { request } from "undici";
import { CALLER_KEY, type Cluster } from "../cluster.ts";
import { MODELS } from "./fleet.ts";
import type { Violations } from "./violations.ts";

const TRIES = 6;
const RETRY_DELAY_MS = 150;
const ANSWER_TIMEOUT_MS = 12_000;
const SHORTEST_ANSWER = 4;
const LONGEST_ANSWER = 80;
const DISCONNECT_SHARE = 0.03;

/** What came of a request of a caller. */
export interface ChatOutcome {
    isWhole: boolean;
    status: number;
}

/** Streams chats through random daemons, sends again after errors, and checks each answer. */
export class ChatCallers {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #random: Random;
    readonly statusCounts = new Map<string, number>();
    /** Refusals by status and detail, with the first daemon and time of each. */
    readonly refusals = new Map<string, string>();
    requests = 0;
    wholeAnswers = 0;
    #next = 0;

    constructor(cluster: Cluster, violations: Violations, random: Random) {
        this.#cluster = cluster;
        this.#violations = violations;
        this.#random = random;
    }

    /** One caller: chats until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.#chatUntilWhole(signal);
            await sleep(this.#random.nextInt(150), signal);
        }
    }

    /** Sends one chat to one daemon and checks what comes back. */
    async chat(daemon: { url: string; }, text = `question ${this.#next++}`): Promise<ChatOutcome> {
        const messages = [{ role: "user", content: `${text} of ${this.#cluster.folder}` }];
        const count = SHORTEST_ANSWER + this.#random.nextInt(LONGEST_ANSWER - SHORTEST_ANSWER);
        const expected = Array.from({ length: count }, (_, index) => tokenOf(messages, index));
        const streams = this.#random.nextInt(5) > 0;
        const model = this.#random.pick(Object.keys(MODELS));
        const limitMs = this.#random.nextFloat() < DISCONNECT_SHARE
            ? this.#random.nextInt(400)
            : ANSWER_TIMEOUT_MS;
        this.requests += 1;
        try {
            const response = await request(`${daemon.url}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${CALLER_KEY}`, "content-type": "application/json" },
                body: JSON.stringify({ model, stream: streams, messages, max_tokens: count }),
                signal: AbortSignal.timeout(limitMs),
            });
            const body = await response.body.text();
            const { statusCode: status } = response;
            const isWhole = status === 200
                && (streams ? this.#checkStream(body, expected) : this.#checkObject(body, expected));
            if (status !== 200) {
                this.#keepRefusal(status, body, daemon.url);
            }
            this.#count(isWhole ? "whole" : status === 200 ? "cut" : String(status));
            return { isWhole, status };
        }
        catch {
            this.#count("none");
            return { isWhole: false, status: 0 };
        }
    }

    #keepRefusal(status: number, body: string, url: string): void {
        const { detail } = JSON.parse(body) as { detail?: string; };
        const key = `${status} ${detail ?? ""}`;
        if (!this.refusals.has(key)) {
            const daemon = this.#cluster.daemons.find((candidate) => candidate.url === url);
            this.refusals.set(key, `${daemon?.daemonId ?? url} at ${new Date().toISOString()}`);
        }
    }

    #count(status: string): void {
        this.statusCounts.set(status, (this.statusCounts.get(status) ?? 0) + 1);
        this.wholeAnswers += status === "whole" ? 1 : 0;
    }

    async #chatUntilWhole(signal: AbortSignal): Promise<void> {
        const text = `question ${this.#next++}`;
        for (let tries = 0; tries < TRIES && !signal.aborted; tries += 1) {
            const { isWhole } = await this.chat(this.#random.pick(this.#cluster.daemons), text);
            if (isWhole) {
                return;
            }
            await sleep(RETRY_DELAY_MS, signal);
        }
    }

    /** Returns whether the stream claims to be whole. */
    #checkStream(body: string, expected: string[]): boolean {
        const events = body.split("\n\n").filter((event) => event.startsWith("data: {"));
        const isMarkedWhole = body.endsWith("data: [DONE]\n\n");
        if (events.some((event) => event.includes("\"error\"")) && isMarkedWhole) {
            this.#violations.add("P3 error in a whole answer", body.slice(-300));
        }
        const tokens: string[] = [];
        for (const event of events) {
            try {
                const chunk = JSON.parse(event.slice("data: ".length)) as ChatChunk;
                const token = chunk.choices?.[0]?.delta?.content;
                tokens.push(...(token === undefined || token === "" ? [] : [token]));
            }
            catch {
                // The stream was cut in the middle of an event.
            }
        }
        const text = tokens.join("");
        const whole = expected.join("");
        if (!whole.startsWith(text)) {
            this.#violations.add(
                "P3 wrong answer",
                `got ${text.slice(-120)}, expected ${whole.slice(0, 60)}`,
            );
        }
        if (isMarkedWhole && text !== whole) {
            this.#violations.add("P3 short answer", `${tokens.length} of ${expected.length} tokens`);
        }
        return isMarkedWhole;
    }

    #checkObject(body: string, expected: string[]): boolean {
        const completion = JSON.parse(body) as Completion;
        const content = completion.choices?.[0]?.message?.content;
        if (content !== expected.join("")) {
            this.#violations.add("P3 wrong answer without streaming", body.slice(0, 200));
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
