import { Gateway, type GatewayOptions } from "@greengage/gateway";
import { type RelayedSignals, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import type { Relays } from "@greengage/routing";

interface PathOptions {
    relays: Relays;
    onRelayedSignals: (relayId: string, signals: RelayedSignals) => void;
}

interface PathState {
    refuseRelay(request: RelayRequest): RelayRefusal | undefined;
    applyRelayedSignals(signals: RelayedSignals): void;
    reportedLostServerIds(): string[];
    reachesServers: boolean;
}

/** Stands in for the paths of `Gateway` until both branches are joined; then `new Gateway` takes its place. */
export const createGateway = (options: GatewayOptions & PathOptions): Gateway & PathState =>
    Object.assign(new Gateway(options), {
        refuseRelay: () => RelayRefusal.UnknownServer,
        applyRelayedSignals: () => undefined,
        reportedLostServerIds: () => [],
        reachesServers: true,
    });
