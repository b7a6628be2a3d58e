import type { Random } from "@greengage/base";
import { sleep } from "@greengage/base";
import { request } from "undici";
import { CALLER_KEY, type Cluster, type StandinRecord } from "../cluster.ts";
import type { Violations } from "./violations.ts";

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 300;
const ANSWER_TIMEOUT_MS = 9_000;
const GIVE_UP_PROBABILITY = 0.3;

type AttemptOutcome = "ran" | "notRun" | "unknown";

interface Action {
    key: string;
    outcomes: AttemptOutcome[];
}

/** Books sales in the ledger through random daemons, retries with the same idempotency key, and checks the bookings. */
export class ActionCallers {
    readonly #cluster: Cluster;
    readonly #violations: Violations;
    readonly #random: Random;
    readonly actions: Action[] = [];
    /** Number of answers by status and verdict. */
    readonly answerCounts = new Map<string, number>();

    constructor(cluster: Cluster, violations: Violations, random: Random) {
        this.#cluster = cluster;
        this.#violations = violations;
        this.#random = random;
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.book(signal);
            await sleep(this.#random.nextInt(300), signal);
        }
    }

    /** Books one sale. Returns whether a daemon confirmed that it ran. */
    async book(signal: AbortSignal): Promise<boolean> {
        const action: Action = { key: `sale-${this.actions.length + 1}`, outcomes: [] };
        this.actions.push(action);
        for (let attempts = 0; attempts < MAX_ATTEMPTS && !signal.aborted; attempts += 1) {
            const outcome = await this.#send(action.key);
            action.outcomes.push(outcome);
            if (outcome === "ran") {
                return true;
            }
            if (outcome === "notRun" && this.#random.nextFloat() < GIVE_UP_PROBABILITY) {
                return false;
            }
            await sleep(RETRY_DELAY_MS, signal);
        }
        return false;
    }

    /** Compares the answers that callers got with the bookings that the ledger stand-ins recorded. */
    check(records: StandinRecord[]): void {
        const bookings = new Map<string, string[]>();
        for (const record of records.filter(({ kind }) => kind === "action")) {
            const { sale } = JSON.parse(String(record["body"])) as { sale: string; };
            bookings.set(sale, [...(bookings.get(sale) ?? []), `${record.vmId} at ${record.atMs}`]);
        }
        for (const { key, outcomes } of this.actions) {
            const booked = bookings.get(key) ?? [];
            const detail = `${key}: answers ${outcomes.join(", ")}; booked ${booked.join(", ") || "never"}`;
            if (booked.length > 1) {
                this.#violations.add("P5 action ran more than once", detail);
            }
            if (outcomes.includes("ran") && booked.length !== 1) {
                this.#violations.add("P4 answered ran, but was not booked exactly once", detail);
            }
            if (
                outcomes.length > 0 && outcomes.every((outcome) => outcome === "notRun") && booked.length > 0
            ) {
                this.#violations.add("P4 answered notRun, but was booked", detail);
            }
        }
    }

    async #send(key: string): Promise<AttemptOutcome> {
        const daemon = this.#random.pick(this.#cluster.daemons);
        try {
            const response = await request(`${daemon.url}/v1/services/ledger/sales`, {
                method: "POST",
                headers: {
                    authorization: `Bearer ${CALLER_KEY}`,
                    "content-type": "application/json",
                    "idempotency-key": key,
                },
                body: JSON.stringify({ sale: key }),
                signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
            });
            const body = await response.body.text();
            return this.#parseAnswer(key, response.statusCode, body);
        }
        catch {
            this.#countAnswer("none");
            return "unknown";
        }
    }

    #parseAnswer(key: string, status: number, body: string): AttemptOutcome {
        if (status !== 200) {
            const { verdict } = JSON.parse(body) as { verdict?: string; };
            this.#countAnswer(`${status} ${verdict ?? "without a verdict"}`);
            return verdict === "notRun" ? "notRun" : "unknown";
        }
        this.#countAnswer("200");
        const { received } = JSON.parse(body) as { received?: string; };
        if (received !== JSON.stringify({ sale: key })) {
            this.#violations.add("P3 answer of another action", `${key} got ${body}`);
        }
        return "ran";
    }

    #countAnswer(answer: string): void {
        this.answerCounts.set(answer, (this.answerCounts.get(answer) ?? 0) + 1);
    }
}
