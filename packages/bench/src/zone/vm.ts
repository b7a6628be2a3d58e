import { type Lifecycle, monotonicMs, newId, sleep } from "@greengage/base";
import { type Assignment, AssignmentState, BackendKind, type VmReport } from "@greengage/protocol";

export interface ZoneVmOptions {
    vmId: string;
    zone: string;
    fabricDomain: string;
    url?: string;
    checksFencing?: boolean;
    /** Time to load weights that are not cached. Default: 200. */
    loadMs?: number;
    /** Default: 200. */
    reportMs?: number;
    accelerators?: number;
    cachedModels?: string[];
    /** Service name. Without one the VM is a model engine. */
    service?: string;
}

export interface VmOrderRecord {
    atMs: number;
    kind: "load" | "release";
    fence: number;
    assignment?: Assignment;
    refused: boolean;
}

const CACHED_LOAD_MS = 20;

/** Simulated backend server inside the process of a test or measurement. */
export class ZoneVm {
    readonly options: ZoneVmOptions;
    readonly orders: VmOrderRecord[] = [];
    incarnationId = newId();
    isUp = true;
    leaving = false;
    released = false;
    failsLoads = false;
    tokenGapMs = 10;
    runningRequests = 0;
    /** Called with 1 when a load of uncached weights starts and with -1 when it ends. */
    onLoad: (change: 1 | -1) => void = () => undefined;
    assignment: (Assignment & { state: AssignmentState; }) | undefined;
    highestFence = 0;
    #sequence = 0;
    #signal: AbortSignal | undefined;
    #cachedModels: Set<string>;

    constructor(options: ZoneVmOptions) {
        this.options = options;
        this.#cachedModels = new Set(options.cachedModels);
    }

    get url(): string {
        return this.options.url ?? `http://${this.options.vmId}`;
    }

    report(): VmReport {
        const { options } = this;
        this.#sequence += 1;
        return structuredClone({
            vmId: options.vmId,
            incarnationId: this.incarnationId,
            sequence: this.#sequence,
            kind: options.service === undefined ? BackendKind.Model : BackendKind.Service,
            service: options.service,
            zone: options.zone,
            fabricDomain: options.fabricDomain,
            url: this.url,
            accelerators: options.accelerators ?? 8,
            checksFencing: options.checksFencing ?? true,
            highestFence: this.highestFence,
            leaving: this.leaving,
            cachedModels: [...this.#cachedModels],
            maxConcurrent: 8,
            load: {
                runningRequests: this.runningRequests,
                waitingRequests: 0,
                kvUsedShare: 0,
                tokenGapMs: this.tokenGapMs,
            },
            assignment: this.assignment,
        });
    }

    /** Sends reports until the life cycle ends. `send` returns whether the VM has been released. */
    start(lifecycle: Lifecycle, send: (report: VmReport) => boolean): void {
        this.#signal = lifecycle.signal;
        lifecycle.every(this.options.reportMs ?? 200, () => {
            if (this.isUp) {
                this.released ||= send(this.report());
            }
        }, () => undefined);
    }

    /** Simulates a process restart, which loses the assignment but keeps the weights cached on the local disk. */
    restart(): void {
        this.incarnationId = newId();
        this.assignment = undefined;
        this.#sequence = 0;
        this.highestFence = 0;
        this.isUp = true;
    }

    /** Handles a load or release order. Returns whether it was accepted. */
    order(
        kind: "load" | "release",
        fence: number,
        assignment: Omit<Assignment, "fence"> | undefined,
    ): boolean {
        const refused = (this.options.checksFencing ?? true) && fence < this.highestFence;
        const record = { atMs: monotonicMs(), kind, fence, refused };
        this.orders.push(
            assignment === undefined ? record : { ...record, assignment: { ...assignment, fence } },
        );
        if (refused) {
            return false;
        }
        this.highestFence = Math.max(this.highestFence, fence);
        if (assignment === undefined) {
            this.assignment = undefined;
            return true;
        }
        this.assignment = { ...structuredClone(assignment), fence, state: AssignmentState.Loading };
        void this.#load(this.assignment);
        return true;
    }

    async #load(assignment: Assignment & { state: AssignmentState; }): Promise<void> {
        const isCached = this.#cachedModels.has(assignment.model);
        if (!isCached) {
            this.onLoad(1);
        }
        await sleep(isCached ? CACHED_LOAD_MS : this.options.loadMs ?? 200, this.#signal);
        if (!isCached) {
            this.onLoad(-1);
        }
        if (this.failsLoads) {
            assignment.state = AssignmentState.Failed;
            return;
        }
        this.#cachedModels.add(assignment.model);
        assignment.state = AssignmentState.Ready;
    }
}
