import { monotonicMs, sleep } from "@greengage/base";
import type { Assignment } from "@greengage/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Dispatcher, request } from "undici";

const PULSE_MS = 100;
/** A member without a pulse for this long stalls the group, as a collective operation waits for every rank. */
const STALL_AFTER_MS = 400;
/** After this long the group gives up its streams. */
const BREAK_AFTER_MS = 2_000;
// A process that was frozen must not count the time it did not run against its members.
const LONGEST_STEP_MS = 200;

interface MemberLink {
    isUp: boolean;
    silentMs: number;
}

/** Connections of rank 0 to the processes of all other members of its generation. */
export class MemberLinks {
    readonly #links: MemberLink[];
    readonly #abort = new AbortController();
    #brokenMs = 0;

    constructor(assignment: Assignment, memberUrls: string[], agent: Dispatcher) {
        this.#links = memberUrls.slice(1).map(() => ({ isUp: false, silentMs: 0 }));
        for (const [index, link] of this.#links.entries()) {
            void this.#hold(link, assignment, memberUrls[index + 1] ?? "", agent);
        }
        void this.#watch();
    }

    /** All members are alive and in this generation. */
    get isWhole(): boolean {
        return this.#links.every((link) => link.isUp && link.silentMs < STALL_AFTER_MS);
    }

    /** A member is gone, in another generation, or silent for too long. */
    get isBroken(): boolean {
        return this.#links.some((link) => !link.isUp || link.silentMs > BREAK_AFTER_MS);
    }

    /** How long the group has not been whole; 0 while it is. */
    get brokenMs(): number {
        return this.#brokenMs;
    }

    close(): void {
        this.#abort.abort();
    }

    async #hold(link: MemberLink, assignment: Assignment, url: string, agent: Dispatcher): Promise<void> {
        const { signal } = this.#abort;
        const query = `groupId=${assignment.groupId}&generation=${assignment.generation}`;
        while (!signal.aborted) {
            try {
                const response = await request(`${url}/member?${query}`, {
                    dispatcher: agent,
                    signal,
                    bodyTimeout: 0,
                });
                if (response.statusCode === 200) {
                    await this.#readPulses(link, response.body);
                }
                else {
                    await response.body.dump();
                }
            }
            catch {
                // The member can't be reached now.
            }
            link.isUp = false;
            await sleep(PULSE_MS, signal);
        }
    }

    async #readPulses(link: MemberLink, pulses: AsyncIterable<Uint8Array>): Promise<void> {
        link.isUp = true;
        for await (const _ of pulses) {
            link.silentMs = 0;
        }
    }

    async #watch(): Promise<void> {
        let lastAtMs = monotonicMs();
        while (!this.#abort.signal.aborted) {
            await sleep(PULSE_MS, this.#abort.signal);
            const stepMs = Math.min(LONGEST_STEP_MS, monotonicMs() - lastAtMs);
            lastAtMs = monotonicMs();
            for (const link of this.#links) {
                link.silentMs += stepMs;
            }
            this.#brokenMs = this.isWhole ? 0 : this.#brokenMs + stepMs;
        }
    }
}

/** Answers rank 0 with pulses for as long as this VM is in its generation. */
export const sendPulses = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    current: () => Assignment | undefined,
): Promise<void> => {
    const query = new URL(incoming.url ?? "/", "http://member").searchParams;
    const isMember = (): boolean =>
        current()?.groupId === query.get("groupId")
        && String(current()?.generation) === query.get("generation");
    if (!isMember()) {
        response.writeHead(409).end();
        return;
    }
    response.writeHead(200);
    while (isMember() && !response.destroyed) {
        response.write(".");
        await sleep(PULSE_MS);
    }
    response.destroy();
};
