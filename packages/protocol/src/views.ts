import type { SuspectRecord } from "./fleet.ts";

/** State of one generation of a replica group. */
export const GroupState = {
    Forming: "forming",
    Loading: "loading",
    Serving: "serving",
    Suspended: "suspended",
    Draining: "draining",
    Dissolved: "dissolved",
} as const;

export type GroupState = typeof GroupState[keyof typeof GroupState];

/** Order that makes a VM one rank of a generation of a replica group. */
export interface Assignment {
    groupId: string;
    /** Increases by one with each change of the member list. */
    generation: number;
    model: string;
    /** VM ids in rank order. Rank 0 is the leader and receives the group's requests. */
    memberVmIds: string[];
    rank: number;
    /** Fencing token of the controller that issued the order. */
    fence: number;
}

export const AssignmentState = { Loading: "loading", Ready: "ready", Failed: "failed" } as const;

export type AssignmentState = typeof AssignmentState[keyof typeof AssignmentState];

export const BackendKind = { Model: "model", Service: "service" } as const;

export type BackendKind = typeof BackendKind[keyof typeof BackendKind];

/** Load of a backend server at the time of its report. */
export interface BackendLoad {
    runningRequests: number;
    waitingRequests: number;
    /** Fraction of the KV cache in use, from 0 to 1. */
    kvUsedShare: number;
    /** Recent mean time between tokens; 0 if unknown. */
    tokenGapMs: number;
}

/** Report that a backend server posts every second. Each VM runs one backend server. */
export interface VmReport {
    vmId: string;
    /** Changes with each start of the backend server's process. */
    incarnationId: string;
    /** Increases by one with each report of an incarnation. */
    sequence: number;
    kind: BackendKind;
    zone: string;
    fabricDomain: string;
    /** `http://host:port` at which the backend server accepts requests and orders. */
    url: string;
    accelerators: number;
    /** Whether the backend server rejects orders with an outdated fencing token. */
    checksFencing: boolean;
    /** Highest fencing token that the backend server has accepted. */
    highestFence: number;
    /** Whether the backend server is about to stop and accepts no new requests. */
    leaving: boolean;
    /** Models whose weights are in the VM's local storage. */
    cachedModels: string[];
    /** Number of requests that the backend server can run concurrently. */
    maxConcurrent: number;
    load: BackendLoad;
    /** The last order that the VM accepted; absent for a plain service or without an assignment. */
    assignment?: Assignment & { state: AssignmentState; };
    /** Name of the service. Set if `kind` is `service`. */
    service?: string;
}

/** State of a replica group that its zone's controller publishes to the daemons of all zones. */
export interface GroupView {
    groupId: string;
    generation: number;
    model: string;
    zone: string;
    fabricDomain: string;
    state: GroupState;
    memberVmIds: string[];
    /** URL of rank 0. */
    leaderUrl: string;
    /** Number of requests that the group can run concurrently. */
    maxConcurrent: number;
    load: BackendLoad;
}

/** Backend server of a plain service, which runs no model. */
export interface ServiceView {
    vmId: string;
    incarnationId: string;
    service: string;
    zone: string;
    url: string;
    maxConcurrent: number;
    /** Whether it accepts new requests: its latest report is recent and it isn't leaving. */
    available: boolean;
}

/** Demand of an organisation at a daemon since the daemon last renewed its grant. */
export interface OrganisationDemand {
    organisation: string;
    requestsPerS: number;
    concurrent: number;
}

/** Number of requests that a daemon has in flight at a replica group or at a backend server of a service. */
export interface InFlightCount {
    /** Group id, or VM id of the service's backend server. */
    id: string;
    count: number;
}

/** New load of a group whose view is otherwise unchanged. */
export interface GroupLoad {
    groupId: string;
    load: BackendLoad;
}

/** Total share of an organisation's limits that one zone has transferred to another. It never decreases. */
export interface ShareTransfer {
    organisation: string;
    fromZone: string;
    toZone: string;
    /** In millionths of the organisation's limits. */
    millionths: number;
}

/** Message between zone controllers that balances organisation limits across zones. */
export interface ZoneExchange {
    zone: string;
    demand: OrganisationDemand[];
    transfers: ShareTransfer[];
}

/** Part of an organisation's limits that a daemon may use until its grant expires. */
export interface OrganisationShare {
    organisation: string;
    requestsPerS: number;
    concurrent: number;
}

/** Response to `grant.renew`. Valid for `validForMs` from the time at which the daemon sent the request. */
export interface Grant {
    zone: string;
    /** Fencing token of the controller's lease. */
    fence: number;
    viewVersion: number;
    validForMs: number;
    /** Whether `groups` and `services` are complete rather than only the changes since the requested version. */
    full: boolean;
    groups: GroupView[];
    services: ServiceView[];
    removedGroupIds: string[];
    removedServiceVmIds: string[];
    /** Changed loads of groups that are not in `groups`. */
    loads: GroupLoad[];
    /** Highest table version that any daemon of the zone has reported. */
    tableFloor: number;
    /** Number of daemons with a grant for the zone's groups. Each group's capacity is divided by it. */
    daemonCount: number;
    shares: OrganisationShare[];
    /** Transfers of limits between zones. Daemons store them for the next controller. */
    transfers: ShareTransfer[];
    /** VMs that an operator has drained. Daemons store them for the next controller. */
    drainedVmIds: string[];
    /**
     * Requests suspected of crashing backend servers. Daemons store them for the next controller. Absent for daemons of other
     * zones, and for those that hold this version.
     */
    suspects?: { version: number; records: SuspectRecord[]; };
}
