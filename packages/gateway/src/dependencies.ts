import type { Context, Random } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type { GroupSuspicion, RelayedSignals } from "@greengage/protocol";
import type { ConnectionPools, RequestLimits, ServerHolds, ServerPaths } from "@greengage/routing";
import type { CallExecution } from "./call.ts";
import type { CrashSuspects } from "./crashsuspects.ts";
import type { DemandMeter } from "./demandmeter.ts";
import type { FirstTokenOffsets } from "./firsttokenoffsets.ts";
import type { GroupState, GroupStates } from "./groupstates.ts";
import type { PlacementClient } from "./placementclient.ts";
import type { Reachability } from "./reachability.ts";
import type { ServiceRetryBudgets } from "./retrybudgets.ts";
import type { ServerStates } from "./serverstates.ts";
import type { ServerDialect } from "./types.ts";

/** State and services shared by all calls of a gateway. */
export interface GatewayDependencies {
    context: Context;
    dialect: ServerDialect;
    pools: ConnectionPools;
    paths: ServerPaths;
    reachability: Reachability;
    groups: GroupStates;
    servers: ServerStates;
    retryBudgets: ServiceRetryBudgets;
    demandMeter: DemandMeter;
    firstTokenOffsets: FirstTokenOffsets;
    random: Random;
    /** Time since the start of the drain; undefined unless the daemon is draining. */
    drainMs: () => number | undefined;
    /** Calls in progress. */
    calls: Set<CallExecution>;
    routing: () => RoutingTable | undefined;
    placementClient: PlacementClient;
    crashSuspects: CrashSuspects;
    requestLimits: RequestLimits;
    serverHolds: ServerHolds;
    /** Passes what a server wants of a relay on to the relay. */
    onRelayedSignals: (relayId: string, signals: RelayedSignals) => void;
    /** Marks a group as suspected and reports it to the controller. */
    suspect: (group: GroupState, suspicion: Omit<GroupSuspicion, "groupName" | "epoch">) => void;
}
