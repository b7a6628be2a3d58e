import { type Context, ErrorCode, GreengageError, messageOf, monotonicMs, Verdict } from "@greengage/base";
import type { RaftLog } from "@greengage/consensus";
import type { Peers, SuspectRecord } from "@greengage/protocol";
import type { CulpritQuarantine } from "./culpritquarantine.ts";

const LEADER_CALL_OPTIONS = { timeoutMs: 900 };

export interface QuarantineOperationsOptions {
    context: Context;
    peers: Peers;
    log: Pick<RaftLog, "holdsLeaderLease" | "status">;
    quarantine: CulpritQuarantine;
    /** Called after a part was lifted. */
    onChanged: () => void;
}

/** Lists suspect prompt parts for operators, and lifts quarantines. Forwards to the leader, which decides. */
export class QuarantineOperations {
    readonly #options: QuarantineOperationsOptions;

    constructor(options: QuarantineOperationsOptions) {
        this.#options = options;
        const { peers, log, quarantine } = options;
        peers.handle("parts.list", () =>
            log.holdsLeaderLease
                ? { isAccepted: true, parts: quarantine.records(monotonicMs()) }
                : { isAccepted: false, parts: [] });
        peers.handle("parts.lift", ({ partId }) => this.#handleLift(partId));
    }

    /** Throws a GreengageError with code `unavailable` if no leader answers. */
    async list(): Promise<SuspectRecord[]> {
        const { peers } = this.#options;
        const { parts } = await this.#askLeader(
            Verdict.NotRun,
            (leaderId) => peers.call(leaderId, "parts.list", {}, LEADER_CALL_OPTIONS),
        );
        return parts;
    }

    /**
     * Forgets the crashes that blame a part, in all services. Returns the services in which it was a suspect. Throws a
     * GreengageError with code `unavailable` if no leader answers.
     */
    async lift(partId: string): Promise<string[]> {
        const { peers } = this.#options;
        const { services } = await this.#askLeader(
            Verdict.MayHaveRun,
            (leaderId) => peers.call(leaderId, "parts.lift", { partId }, LEADER_CALL_OPTIONS),
        );
        return services;
    }

    #handleLift(partId: string): { isAccepted: boolean; services: string[]; } {
        const { log, quarantine, onChanged } = this.#options;
        if (!log.holdsLeaderLease) {
            return { isAccepted: false, services: [] };
        }
        const services = quarantine.view(monotonicMs())
            .filter((suspect) => suspect.partId === partId)
            .map(({ service }) => service);
        services.forEach((service) => quarantine.lift(service, partId));
        onChanged();
        return { isAccepted: true, services };
    }

    /** `verdict` applies to a call that got no answer. */
    async #askLeader<T extends { isAccepted: boolean; }>(
        verdict: Verdict,
        send: (leaderId: string) => Promise<T>,
    ): Promise<T> {
        const { leaderId } = this.#options.log.status();
        if (leaderId === undefined) {
            throw unavailable("no leader is known", Verdict.NotRun);
        }
        let answer: T;
        try {
            answer = await send(leaderId);
        }
        catch (error) {
            this.#options.context.decisions.record("leader.unreachable", {
                leaderId,
                reason: messageOf(error),
            });
            throw unavailable(`the leader ${leaderId} didn't answer`, verdict);
        }
        if (!answer.isAccepted) {
            throw unavailable(`${leaderId} is no longer the leader`, Verdict.NotRun);
        }
        return answer;
    }
}

const unavailable = (message: string, verdict: Verdict): GreengageError =>
    new GreengageError(message, { code: ErrorCode.Unavailable, verdict });
