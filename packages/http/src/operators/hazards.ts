import { GroupState } from "@greengage/protocol";
import { type RowChange, rowKey, RowKind } from "@greengage/table";
import type { InFlightCounts } from "../admission.ts";
import type { Hazard, OperatorApi } from "./api.ts";
import { fleetInFlight, fleetSummaries } from "./fleet.ts";

interface HazardContext {
    api: OperatorApi;
    inFlight: InFlightCounts;
    /** Daemons whose requests in flight are unknown. */
    unreachable: string[];
}

type HazardCheck = (change: RowChange, facts: HazardContext) => Hazard[];

const isRemovedOrDisabled = (change: RowChange): boolean =>
    change.columns === undefined || change.columns["enabled"] === false;

const countServingGroups = (api: OperatorApi, model: string): number =>
    api.groups().filter((group) => group.model === model && group.state === GroupState.Serving).length;

/** Returns the current and the new value of a numeric column if the edit decreases it. */
const findDecrease = (
    change: RowChange,
    context: HazardContext,
    column: string,
): { from: number; to: number; } | undefined => {
    const from = context.api.table.row(change.kind, change.name)?.columns[column];
    const to = change.columns?.[column];
    return typeof from === "number" && typeof to === "number" && to < from ? { from, to } : undefined;
};

const modelHazards: HazardCheck = (change, context) => {
    const count = countServingGroups(context.api, change.name);
    if (count === 0) {
        return [];
    }
    if (isRemovedOrDisabled(change)) {
        const detail = `${count} replica groups of model ${change.name} are serving and would stop`;
        return [{ hazard: "model-serves", detail }];
    }
    const before = context.api.table.row(change.kind, change.name)?.columns["vmsPerReplica"];
    const after = change.columns?.["vmsPerReplica"] ?? before;
    const hazards: Hazard[] = [];
    if (before !== after) {
        const detail = `all ${count} serving groups of model ${change.name} would be re-formed`;
        hazards.push({ hazard: "groups-form-again", detail });
    }
    const replicas = findDecrease(change, context, "replicas");
    if (replicas !== undefined) {
        const detail =
            `groups per zone of model ${change.name} would decrease from ${replicas.from} to ${replicas.to}`;
        hazards.push({ hazard: "fewer-groups", detail });
    }
    return hazards;
};

const inFlightHazards: HazardCheck = (change, context) => {
    if (!isRemovedOrDisabled(change)) {
        return [];
    }
    const row = rowKey(change.kind, change.name);
    const count = context.inFlight[row] ?? 0;
    const hazards: Hazard[] = [];
    if (count > 0) {
        hazards.push({ hazard: "requests-in-flight", detail: `${row} has ${count} requests in flight` });
    }
    if (context.unreachable.length > 0) {
        const detail = `the number of requests of ${row} in flight on ${
            context.unreachable.join(", ")
        } is unknown`;
        hazards.push({ hazard: "requests-not-known", detail });
    }
    return hazards;
};

const hazardsByKind: Partial<Record<RowKind, HazardCheck>> = {
    [RowKind.Model]: modelHazards,
    [RowKind.Organisation]: inFlightHazards,
    [RowKind.Service]: inFlightHazards,
};

/** Hazards of an edit in the current state of the system. */
export const editHazards = async (api: OperatorApi, changes: readonly RowChange[]): Promise<Hazard[]> => {
    const existing = changes.filter((change) => api.table.row(change.kind, change.name) !== undefined);
    const needsCounts = existing.some((change) =>
        change.kind !== RowKind.Model && isRemovedOrDisabled(change)
    );
    const { counts, unreachable } = needsCounts
        ? await fleetInFlight(api)
        : { counts: {}, unreachable: [] };
    const context: HazardContext = { api, inFlight: counts, unreachable };
    return existing.flatMap((change) => hazardsByKind[change.kind]?.(change, context) ?? []);
};

/** Hazards of draining a daemon: no ready daemon left in its zone, or no majority of voters in service. */
export const daemonDrainHazards = async (api: OperatorApi, daemonId: string): Promise<Hazard[]> => {
    const { responses } = await fleetSummaries(api);
    const target = api.daemons.find((daemon) => daemon.daemonId === daemonId);
    const others = responses.filter((response) =>
        response.daemonId !== daemonId && response.state === "serving"
    );
    const hazards: Hazard[] = [];
    if (!others.some((other) => other.zone === target?.zone && other.ready)) {
        const detail = `no other daemon of zone ${target?.zone} is ready`;
        hazards.push({ hazard: "last-daemon-of-zone", detail });
    }
    const voterCount = api.daemons.filter((daemon) => daemon.voter).length;
    const remainingVoters = others.filter((other) => other.voter).length;
    if (target?.voter === true && remainingVoters <= voterCount / 2) {
        const detail = `without ${daemonId} only ${remainingVoters} of ${voterCount} voters are in service`;
        hazards.push({ hazard: "no-majority-of-voters", detail });
    }
    return hazards;
};
