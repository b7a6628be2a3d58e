import { monotonicMs, sleep } from "@greengage/base";
import type { Assignment } from "@greengage/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Dispatcher, request } from "undici";

const HEARTBEAT_MS = 100;
/** A member without a heartbeat for this long stalls the group, as a collective operation waits for every rank. */
const STALL_AFTER_MS = 400;
/** A member without a heartbeat for this long makes rank 0 break off its streams. */
const BREAK_AFTER_MS = 2_000;
// Caps the measured step, so that rank 0 doesn't count time in which it was frozen itself as silence of its members.
const MAX_STEP_MS = 200;

interface MemberLink {
    isConnected: boolean;
    silentMs: number;
}

/** Connections of rank 0 to all other members of its group and generation. */
export class MemberLinks {
    readonly #links: MemberLink[];
    readonly #abort = new AbortController();
    #incompleteMs = 0;

    constructor(assignment: Assignment, memberUrls: string[], agent: Dispatcher) {
        this.#links = memberUrls.slice(1).map(() => ({ isConnected: false, silentMs: 0 }));
        for (const [index, link] of this.#links.entries()) {
            void this.#maintainLink(link, assignment, memberUrls[index + 1] ?? "", agent);
        }
        void this.#trackSilence();
    }

    /** Whether all members are alive and in this generation. */
    get isComplete(): boolean {
        return this.#links.every((link) => link.isConnected && link.silentMs < STALL_AFTER_MS);
    }

    /** Whether a member is disconnected, in another generation, or silent for longer than `BREAK_AFTER_MS`. */
    get isBroken(): boolean {
        return this.#links.some((link) => !link.isConnected || link.silentMs > BREAK_AFTER_MS);
    }

    /** Time for which the group has been incomplete; 0 while it is complete. */
    get incompleteMs(): number {
        return this.#incompleteMs;
    }

    close(): void {
        this.#abort.abort();
    }

    async #maintainLink(
        link: MemberLink,
        assignment: Assignment,
        url: string,
        agent: Dispatcher,
    ): Promise<void> {
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
                    await this.#readHeartbeats(link, response.body);
                }
                else {
                    await response.body.dump();
                }
            }
            catch {
                // Unreachable; retried after a pause.
            }
            link.isConnected = false;
            await sleep(HEARTBEAT_MS, signal);
        }
    }

    async #readHeartbeats(link: MemberLink, heartbeats: AsyncIterable<Uint8Array>): Promise<void> {
        link.isConnected = true;
        for await (const _ of heartbeats) {
            link.silentMs = 0;
        }
    }

    async #trackSilence(): Promise<void> {
        let lastTickAtMs = monotonicMs();
        while (!this.#abort.signal.aborted) {
            await sleep(HEARTBEAT_MS, this.#abort.signal);
            const stepMs = Math.min(MAX_STEP_MS, monotonicMs() - lastTickAtMs);
            lastTickAtMs = monotonicMs();
            for (const link of this.#links) {
                link.silentMs += stepMs;
            }
            this.#incompleteMs = this.isComplete ? 0 : this.#incompleteMs + stepMs;
        }
    }
}

/** Streams heartbeats to rank 0 for as long as this VM is in the requested group and generation. */
export const sendHeartbeats = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    currentAssignment: () => Assignment | undefined,
): Promise<void> => {
    const query = new URL(incoming.url ?? "/", "http://member").searchParams;
    const isMember = (): boolean =>
        currentAssignment()?.groupId === query.get("groupId")
        && String(currentAssignment()?.generation) === query.get("generation");
    if (!isMember()) {
        response.writeHead(409).end();
        return;
    }
    response.writeHead(200);
    while (isMember() && !response.destroyed) {
        response.write(".");
        await sleep(HEARTBEAT_MS);
    }
    response.destroy();
};
