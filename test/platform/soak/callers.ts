import { type Random, sleep } from "@greengage/base";
import type { Violations } from "@greengage/bench";
import type { IncomingMessage } from "node:http";
import { request } from "undici";
import { chatHeaders } from "../fixtures.ts";
import { formatStream } from "../streamcontent.ts";
import { type DeadlyContents, DeadlyKind } from "./deadlycontents.ts";
import type { PathCutChecker } from "./pathcuts.ts";
import { MODEL_SIZES, type SoakDaemon } from "./system.ts";

const MAX_PAUSE_MS = 120;
const MAX_STREAM_EVENTS = 60;
const STREAM_TIMEOUT_MS = 8_000;
const PAYMENT_TIMEOUT_MS = 2_500;
const DISCONNECT_SHARE = 0.04;
/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Model of the streams that come again with the same content. */
const DEADLY_MODEL = "small";

const paymentHeaders = (id: string): Record<string, string> => ({
    ...chatHeaders(id),
    "greengageridge-deadline-ms": String(PAYMENT_TIMEOUT_MS),
});

/** State of a request that a caller has issued. */
interface IssuedRequest {
    isPayment: boolean;
    runCount: number;
    isReportedNotRun: boolean;
}

/** Callers that send streams and payments through random entry daemons, and check every answer and every run. */
export class SoakCallers {
    readonly #random: Random;
    readonly #violations: Violations;
    readonly #deadlyContents: DeadlyContents;
    readonly #pathCutChecker: PathCutChecker;
    readonly #issuedRequests = new Map<string, IssuedRequest>();
    readonly statusCounts = new Map<string, number>();
    #entries: readonly SoakDaemon[] = [];

    constructor(
        random: Random,
        violations: Violations,
        deadlyContents: DeadlyContents,
        pathCutChecker: PathCutChecker,
    ) {
        this.#random = random;
        this.#violations = violations;
        this.#deadlyContents = deadlyContents;
        this.#pathCutChecker = pathCutChecker;
    }

    get requestCount(): number {
        return this.#issuedRequests.size;
    }

    /** Runs one caller until `signal` is aborted. */
    async run(entries: readonly SoakDaemon[], signal: AbortSignal): Promise<void> {
        this.#entries = entries;
        while (!signal.aborted) {
            const entry = this.#random.pick(this.#entries);
            await (this.#random.nextInt(3) === 0 ? this.#payOrCrash(entry) : this.#streamOrCrash(entry));
            await sleep(this.#random.nextInt(MAX_PAUSE_MS), signal);
        }
    }

    async #streamOrCrash(entry: SoakDaemon): Promise<void> {
        const path = this.#deadlyContents.draw(DeadlyKind.Stream);
        if (path === undefined) {
            await this.stream(entry, this.#deadlyContents.draw(DeadlyKind.Part));
            return;
        }
        const id = this.#registerRequest(false);
        const headers = { ...chatHeaders(id), "greengageridge-model": DEADLY_MODEL };
        this.#countStatus(
            "deadly stream",
            await this.#send(entry, path, "deadly", headers, STREAM_TIMEOUT_MS),
        );
    }

    async #payOrCrash(entry: SoakDaemon): Promise<void> {
        const path = this.#deadlyContents.draw(DeadlyKind.Payment);
        if (path === undefined) {
            await this.pay(entry);
            return;
        }
        const headers = paymentHeaders(this.#registerRequest(true));
        const answer = await this.#send(entry, path, "deadly", headers, PAYMENT_TIMEOUT_MS);
        this.#countStatus("deadly payment", answer);
    }

    /** Checks and counts a run that an engine has begun. */
    recordRun(engineId: string, { headers }: IncomingMessage): void {
        const id = String(headers["greengageridge-request-id"]);
        const issued = this.#issuedRequests.get(id);
        if (issued === undefined) {
            this.#violations.add("UNASKED", `${engineId} runs ${id}, which no caller has sent`);
            return;
        }
        issued.runCount += 1;
        if (headers["greengageridge-tenant"] !== "kiosks" || headers["authorization"] !== undefined) {
            this.#violations.add(
                "UNASKED",
                `${engineId} runs ${id} with the tenant or credentials that the caller sent`,
            );
        }
        if (issued.isPayment && issued.runCount > 1) {
            this.#violations.add("TWICE", `${engineId} runs the payment ${id} again`);
        }
        if (issued.isPayment && issued.isReportedNotRun) {
            this.#violations.add(
                "REFUSED",
                `${engineId} runs the payment ${id} although it was answered as not run`,
            );
        }
    }

    /** Sends a streaming request. Returns whether the complete stream was received. */
    async stream(entry: SoakDaemon, deadlyPart?: string): Promise<boolean> {
        const id = this.#registerRequest(false);
        const count = 1 + this.#random.nextInt(MAX_STREAM_EVENTS);
        const expectedBody = formatStream({ text: id, count });
        const model = this.#random.pick(Object.keys(MODEL_SIZES));
        const headers: Record<string, string> = { ...chatHeaders(id), "greengageridge-model": model };
        if (deadlyPart !== undefined) {
            headers["greengageridge-prompt-prefix"] = `5c1e07a2:800,${deadlyPart}:400,${id}:100`;
        }
        const finishRequest = this.#pathCutChecker.beginRequest(entry);
        const answer = await this.#send(entry, `/chat/${id}`, `${id} ${count}`, headers, STREAM_TIMEOUT_MS);
        const isSuccess = answer.status === 200;
        if (deadlyPart === undefined && !answer.hasCallerLeft) {
            finishRequest(isSuccess && answer.isComplete);
        }
        if (isSuccess && !expectedBody.startsWith(answer.body)) {
            this.#violations.add("ORDER", `${id}: ${answer.body.slice(-200)}`);
        }
        if (isSuccess && answer.isComplete && answer.body !== expectedBody) {
            this.#violations.add(
                "MIXED",
                `${id} ended as complete after ${answer.body.length} bytes but differs from the expected stream`,
            );
        }
        this.#countStatus(deadlyPart === undefined ? "stream" : "stream with a deadly part", answer);
        return isSuccess && answer.isComplete;
    }

    /** Sends a payment. Returns whether it was confirmed. */
    async pay(entry: SoakDaemon): Promise<boolean> {
        const id = this.#registerRequest(true);
        const finishRequest = this.#pathCutChecker.beginRequest(entry);
        const answer = await this.#send(entry, `/pay/${id}`, id, paymentHeaders(id), PAYMENT_TIMEOUT_MS);
        const issued = this.#issuedRequests.get(id);
        const isSuccess = answer.status === 200 && answer.isComplete;
        if (!answer.hasCallerLeft) {
            finishRequest(isSuccess);
        }
        if (isSuccess && (answer.body !== `done ${id}` || issued?.runCount !== 1)) {
            this.#violations.add("MIXED", `${id} ran ${issued?.runCount} times and got ${answer.body}`);
        }
        if (issued !== undefined && NOT_RUN_STATUSES.includes(answer.status)) {
            issued.isReportedNotRun = true;
            if (issued.runCount > 0) {
                this.#violations.add(
                    "REFUSED",
                    `${id} has run but was answered with status ${answer.status}`,
                );
            }
        }
        this.#countStatus("payment", answer);
        return isSuccess;
    }

    #registerRequest(isPayment: boolean): string {
        const id = `r${this.#issuedRequests.size + 1}`;
        this.#issuedRequests.set(id, { isPayment, runCount: 0, isReportedNotRun: false });
        return id;
    }

    async #send(
        entry: SoakDaemon,
        path: string,
        body: string,
        headers: Record<string, string>,
        timeoutMs: number,
    ): Promise<Answer> {
        const disconnectsEarly = this.#random.nextFloat() < DISCONNECT_SHARE;
        const signal = AbortSignal.timeout(
            disconnectsEarly ? 1 + this.#random.nextInt(300) : timeoutMs + 1_000,
        );
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
            return { status, body: text, isComplete: true, hasCallerLeft: false };
        }
        catch {
            // The connection failed or the caller disconnected; the partial body is still checked.
            return {
                status,
                body: text,
                isComplete: false,
                hasCallerLeft: disconnectsEarly && signal.aborted,
            };
        }
    }

    #countStatus(kind: string, { status, isComplete }: Answer): void {
        const key = `${kind} ${status === 200 && !isComplete ? "cut" : status || "none"}`;
        this.statusCounts.set(key, (this.statusCounts.get(key) ?? 0) + 1);
    }
}

interface Answer {
    /** HTTP status, or 0 if there was no answer. */
    status: number;
    body: string;
    isComplete: boolean;
    /** Whether the caller disconnected before the end of the answer. */
    hasCallerLeft: boolean;
}
