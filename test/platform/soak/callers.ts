import { type Random, sleep } from "@greengage/base";
import type { Violations } from "@greengage/bench";
import type { IncomingMessage } from "node:http";
import { request } from "undici";
import { wholeStream } from "../content.ts";
import { chatHeaders } from "../fixtures.ts";
import { MODEL_SIZES, type SoakDaemon } from "./system.ts";

const PAUSE_MS = 120;
const LONGEST_STREAM = 60;
const STREAM_LIMIT_MS = 8_000;
const PAYMENT_LIMIT_MS = 2_500;
const LEAVING_SHARE = 0.04;
/** These answers promise that the request has not run and never will. */
const PROMISING_STATUSES = [408, 421, 429, 503];

/** What is known of one request. */
interface Issued {
    isPayment: boolean;
    runCount: number;
    isPromisedNotRun: boolean;
}

/** Callers that stream and pay through random entry daemons, and check each answer and each run. */
export class SoakCallers {
    readonly #random: Random;
    readonly #violations: Violations;
    readonly #issued = new Map<string, Issued>();
    readonly statusCounts = new Map<string, number>();
    #entries: readonly SoakDaemon[] = [];

    constructor(random: Random, violations: Violations) {
        this.#random = random;
        this.#violations = violations;
    }

    get requestCount(): number {
        return this.#issued.size;
    }

    /** One caller, until `signal` aborts. */
    async run(entries: readonly SoakDaemon[], signal: AbortSignal): Promise<void> {
        this.#entries = entries;
        while (!signal.aborted) {
            const entry = this.#random.pick(this.#entries);
            await (this.#random.nextInt(3) === 0 ? this.pay(entry) : this.stream(entry));
            await sleep(this.#random.nextInt(PAUSE_MS), signal);
        }
    }

    /** An engine has begun to run a request. */
    noteRun(engineId: string, { headers }: IncomingMessage): void {
        const id = String(headers["greengageridge-request-id"]);
        const issued = this.#issued.get(id);
        if (issued === undefined) {
            this.#violations.add("UNASKED", `${engineId} runs ${id}, which nobody sent`);
            return;
        }
        issued.runCount += 1;
        if (headers["greengageridge-tenant"] !== "kiosks" || headers["authorization"] !== undefined) {
            this.#violations.add("UNASKED", `${engineId} runs ${id} with headers of the caller`);
        }
        if (issued.isPayment && issued.runCount > 1) {
            this.#violations.add("TWICE", `${engineId} runs the payment ${id} once more`);
        }
        if (issued.isPayment && issued.isPromisedNotRun) {
            this.#violations.add("REFUSED", `${engineId} runs the payment ${id} after its refusal`);
        }
    }

    /** Returns whether the whole stream came. */
    async stream(entry: SoakDaemon): Promise<boolean> {
        const id = this.#issue(false);
        const count = 1 + this.#random.nextInt(LONGEST_STREAM);
        const whole = wholeStream({ text: id, count });
        const model = this.#random.pick(Object.keys(MODEL_SIZES));
        const headers = { ...chatHeaders(id), "greengageridge-model": model };
        const answer = await this.#send(entry, `/chat/${id}`, `${id} ${count}`, headers, STREAM_LIMIT_MS);
        const isSuccess = answer.status === 200;
        if (isSuccess && !whole.startsWith(answer.body)) {
            this.#violations.add("ORDER", `${id}: ${answer.body.slice(-200)}`);
        }
        if (isSuccess && answer.isComplete && answer.body !== whole) {
            this.#violations.add("MIXED", `${id} ends as complete after ${answer.body.length} bytes`);
        }
        this.#count("stream", answer);
        return isSuccess && answer.isComplete;
    }

    /** Returns whether the payment was confirmed. */
    async pay(entry: SoakDaemon): Promise<boolean> {
        const id = this.#issue(true);
        const headers = { ...chatHeaders(id), "greengageridge-deadline-ms": String(PAYMENT_LIMIT_MS) };
        const answer = await this.#send(entry, `/pay/${id}`, id, headers, PAYMENT_LIMIT_MS);
        const issued = this.#issued.get(id);
        const isSuccess = answer.status === 200 && answer.isComplete;
        if (isSuccess && (answer.body !== `done ${id}` || issued?.runCount !== 1)) {
            this.#violations.add("MIXED", `${id} ran ${issued?.runCount} times and got ${answer.body}`);
        }
        if (issued !== undefined && PROMISING_STATUSES.includes(answer.status)) {
            issued.isPromisedNotRun = true;
            if (issued.runCount > 0) {
                this.#violations.add("REFUSED", `${id} has run and is answered ${answer.status}`);
            }
        }
        this.#count("payment", answer);
        return isSuccess;
    }

    #issue(isPayment: boolean): string {
        const id = `r${this.#issued.size + 1}`;
        this.#issued.set(id, { isPayment, runCount: 0, isPromisedNotRun: false });
        return id;
    }

    async #send(
        entry: SoakDaemon,
        path: string,
        body: string,
        headers: Record<string, string>,
        limitMs: number,
    ): Promise<Answer> {
        const leaves = this.#random.nextFloat() < LEAVING_SHARE;
        const signal = AbortSignal.timeout(leaves ? 1 + this.#random.nextInt(300) : limitMs + 1_000);
        let status = 0;
        let text = "";
        try {
            const response = await request(`http://127.0.0.1:${entry.proxy?.port}${path}`, {
                method: "POST",
                body,
                headers,
                signal,
            });
            status = response.statusCode;
            for await (const chunk of response.body) {
                text += (chunk as Buffer).toString();
            }
            return { status, body: text, isComplete: true };
        }
        catch {
            // The connection has broken, or the caller has left: what came so far is checked.
            return { status, body: text, isComplete: false };
        }
    }

    #count(kind: string, { status, isComplete }: Answer): void {
        const key = `${kind} ${status === 200 && !isComplete ? "cut" : status || "none"}`;
        this.statusCounts.set(key, (this.statusCounts.get(key) ?? 0) + 1);
    }
}

interface Answer {
    /** 0 without an answer. */
    status: number;
    body: string;
    isComplete: boolean;
}
