import type { Context, Random } from "@greengage/base";
import type { RoutingTable } from "@greengage/configuration";
import type { GroupSuspicion } from "@greengage/protocol";
import type { Pools } from "@greengage/routing";
import type { DemandMeter } from "./demandmeter.ts";
import type { FirstTokenOffsets } from "./firsttokenoffsets.ts";
import type { GroupState, GroupStates } from "./groupstates.ts";
import type { PlacementClient } from "./placementclient.ts";
import type { ServiceBudgets } from "./retrybudgets.ts";
import type { ServerStates } from "./serverstates.ts";
import type { ServerDialect } from "./types.ts";

/** What all calls of one gateway share. */
export interface GatewayParts {
    context: Context;
    dialect: ServerDialect;
    pools: Pools;
    groups: GroupStates;
    servers: ServerStates;
    budgets: ServiceBudgets;
    demand: DemandMeter;
    offsets: FirstTokenOffsets;
    random: Random;
    routing: () => RoutingTable | undefined;
    placement: PlacementClient;
    /** Tells the controller that a group may be lost. */
    suspect: (group: GroupState, suspicion: Omit<GroupSuspicion, "groupName" | "epoch">) => void;
}
