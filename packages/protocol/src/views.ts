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

/** What a VM has been ordered to be: one rank of one generation of a replica group. */
export interface Assignment {
    groupId: string;
    /** Grows by one with each change of the member list. */
    generation: number;
    model: string;
    /** VM ids in rank order. Rank 0 is the leader and takes the group's requests. */
    memberVmIds: string[];
    rank: number;
    /** Fencing number of the controller that gave the order. */
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
    /** Share of the KV cache in use, 0 to 1. */
    kvUsedShare: number;
    /** Mean time between tokens, lately. 0 when unknown. */
    tokenGapMs: number;
}

/** Report that a backend server posts every second. One backend server is one VM. */
export interface VmReport {
    vmId: string;
    /** New with each start of the backend server's process. */
    incarnationId: string;
    /** Grows by one with each report of an incarnation. */
    sequence: number;
    kind: BackendKind;
    zone: string;
    fabricDomain: string;
    /** `http://host:port` at which the backend server takes requests and orders. */
    url: string;
    accelerators: number;
    /** Whether orders with an old fencing number are refused. */
    checksFencing: boolean;
    /** Highest fencing number that the backend server has accepted. */
    highestFence: number;
    /** The backend server wants to stop and takes no new work. */
    leaving: boolean;
    /** Models whose weights are on the VM's local storage. */
    cachedModels: string[];
    /** Requests that the backend server can run at once. */
    maxConcurrent: number;
    load: BackendLoad;
    /** The last order the VM accepted, if it is a model engine with an assignment. */
    assignment?: Assignment & { state: AssignmentState; };
    /** Name of the service, if `kind` is `service`. */
    service?: string;
}

/** A replica group as the daemons of all zones see it. */
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
    /** Requests that the group can run at once. */
    maxConcurrent: number;
    load: BackendLoad;
}

/** A backend server of a plain service. */
export interface ServiceView {
    vmId: string;
    incarnationId: string;
    service: string;
    zone: string;
    url: string;
    maxConcurrent: number;
    /** Takes new work: its report is fresh and it is not leaving. */
    available: boolean;
}

/** Requests of one organisation at one daemon since its last renewal. */
export interface OrganisationDemand {
    organisation: string;
    requestsPerS: number;
    concurrent: number;
}

/** Requests that a daemon has in flight on a replica group or a service's backend server. */
export interface InFlightCount {
    /** Group id, or the service's VM id. */
    id: string;
    count: number;
}

/** Load of a group whose view is otherwise unchanged. */
export interface GroupLoad {
    groupId: string;
    load: BackendLoad;
}

/** One move of a share of an organisation's limits between zones, as a total since the start. Totals only grow. */
export interface ShareTransfer {
    organisation: string;
    fromZone: string;
    toZone: string;
    /** Millionths of the organisation's limits. */
    millionths: number;
}

/** What controllers tell each other about organisation limits. */
export interface ZoneExchange {
    zone: string;
    demand: OrganisationDemand[];
    transfers: ShareTransfer[];
}

/** Share of an organisation's limits that a daemon may use until the grant ends. */
export interface OrganisationShare {
    organisation: string;
    requestsPerS: number;
    concurrent: number;
}

/** Answer to `grant.renew`: what the daemon may rely on for `validForMs` from when it sent the renewal. */
export interface Grant {
    zone: string;
    /** Fencing number of the controller's lease. */
    fence: number;
    viewVersion: number;
    validForMs: number;
    /** Whether `groups` and `services` are all there are; otherwise only what changed since the version asked for. */
    full: boolean;
    groups: GroupView[];
    services: ServiceView[];
    removedGroupIds: string[];
    removedServiceVmIds: string[];
    /** Loads that changed, for groups that are not in `groups`. */
    loads: GroupLoad[];
    /** Highest table version that any daemon of the zone has reported. */
    tableFloor: number;
    /** Daemons that hold grants of the zone's groups: the divisor of each group's capacity. */
    daemonCount: number;
    shares: OrganisationShare[];
    /** Totals of the zone's exchange of limits, kept by the daemons for the next controller. */
    transfers: ShareTransfer[];
    /** VMs that an operator drains, kept by the daemons for the next controller. */
    drainedVmIds: string[];
}
