import type { FleetView, LeavingServer } from "@greengage/protocol";
import type { ServerHolds } from "@greengage/routing";
import { incarnationOf } from "./serversignals.ts";

/** A server that is still in the fleet view is reported again, as a report may be lost or its leader replaced. */
const REPEAT_INTERVAL_MS = 500;

export interface LeavingReportsOptions {
    serverHolds: ServerHolds;
    /** Reports to the leader that a server leaves. Never rejects. */
    report: (server: LeavingServer) => Promise<void>;
}

/** Reports servers that say in their answers that they leave to the leader, so that their groups are replaced in time. */
export class LeavingReports {
    readonly #options: LeavingReportsOptions;
    readonly #reportedAtMs = new Map<string, number>();
    #targets: (FleetView["groups"][number] | FleetView["servers"][number])[] = [];

    constructor(options: LeavingReportsOptions) {
        this.#options = options;
    }

    applyView({ groups, servers }: Pick<FleetView, "groups" | "servers">): void {
        this.#targets = [...groups, ...servers];
        const ids = new Set(this.#targets.map((target) => incarnationOf(target).serverId));
        for (const serverId of this.#reportedAtMs.keys()) {
            if (!ids.has(serverId)) {
                this.#reportedAtMs.delete(serverId);
            }
        }
    }

    /** Reports the leaving servers of the view that are due. */
    check(nowMs: number): void {
        const { serverHolds, report } = this.#options;
        for (const target of this.#targets) {
            const server = incarnationOf(target);
            const { serverId } = server;
            const reportedAtMs = this.#reportedAtMs.get(serverId) ?? -Infinity;
            if (
                target.bornMs !== undefined && nowMs - reportedAtMs >= REPEAT_INTERVAL_MS
                && serverHolds.isLeaving(server)
            ) {
                this.#reportedAtMs.set(serverId, nowMs);
                void report({ serverId, bornMs: target.bornMs });
            }
        }
    }
}
