import { monotonicMs } from "@greengage/base";
import type { FleetView, GroupTarget, RelayedSignals, RelayRequest, ServerTarget } from "@greengage/protocol";
import { RelayRefusal } from "@greengage/protocol";
import type { ServerHolds } from "@greengage/routing";
import { incarnationOf } from "./serversignals.ts";

const addressOf = (target: GroupTarget | ServerTarget): string =>
    "headAddress" in target ? target.headAddress : target.address;

/** Addresses of all servers that requests are sent to. */
export const addressesOf = ({ groups, servers }: Pick<FleetView, "groups" | "servers">): Set<string> =>
    new Set([...groups, ...servers].map(addressOf));

/** Decides which connections this daemon relays for peers: those to servers that it may send requests to itself. */
export class RelayPolicy {
    readonly #serverHolds: ServerHolds;
    #targets: (GroupTarget | ServerTarget)[] = [];

    constructor(serverHolds: ServerHolds) {
        this.#serverHolds = serverHolds;
    }

    applyView({ groups, servers }: Pick<FleetView, "groups" | "servers">): void {
        this.#targets = [...groups, ...servers];
    }

    refuse({ serverId, address }: RelayRequest, isDraining: boolean): RelayRefusal | undefined {
        if (isDraining) {
            return RelayRefusal.Draining;
        }
        const targets = this.#targets.filter((target) =>
            incarnationOf(target).serverId === serverId && addressOf(target) === address
        );
        if (targets.length === 0) {
            return RelayRefusal.UnknownServer;
        }
        const nowMs = monotonicMs();
        const isHeld = targets.some((target) => {
            const server = incarnationOf(target);
            return this.#serverHolds.isHeld(server, nowMs) || this.#serverHolds.isLeaving(server);
        });
        return isHeld ? RelayRefusal.Held : undefined;
    }

    applySignals({ serverId, bornMs, isLeaving, pauseMs }: RelayedSignals): void {
        const server = { serverId, incarnation: bornMs };
        const nowMs = monotonicMs();
        if (pauseMs !== undefined) {
            this.#serverHolds.observePause(server, { pauseMs }, nowMs);
        }
        if (isLeaving) {
            this.#serverHolds.observeLeaving(server, nowMs);
        }
    }
}
