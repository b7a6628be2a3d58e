import type { EngineFleet } from "./engine.ts";

const DEFAULT_LOAD_MS = 50;
/** Time for which the head of a group that has lost a member stalls before it becomes broken. */
const STALL_MS = 1_500;

/** An order to an engine, in its wire format. */
export interface Order {
    operation: string;
    group: string;
    epoch: number;
    model?: string;
    members?: string[];
}

/** The group that an engine belongs to, with its rank and state there. */
export interface Membership {
    name: string;
    epoch: number;
    rank: number;
    state: string;
    model: string;
    members: string[];
}

export interface GroupMemberOptions {
    id: string;
    /** Engines that can form groups with this one. Group checks are skipped if undefined. */
    fleet: EngineFleet | undefined;
    /** Whether the engine's process is frozen. */
    isFrozen: () => boolean;
    /** Called when a member has become ready. */
    onReady: () => void;
}

/** Group membership of an engine: executes orders, and reports those that violate the platform's rules. */
export class GroupMember {
    readonly #options: GroupMemberOptions;
    /** Time from the order of a join to the ready state. */
    loadMs = DEFAULT_LOAD_MS;
    /** Groups in which this engine has become ready, as `name/epoch/members`. */
    readonly #readyGroupKeys = new Set<string>();
    #group: Membership | undefined;
    #stagedModels: string[] = [];
    #loadedModels: string[] = [];
    #incompleteSinceMs: number | undefined;
    /** Highest epoch of all groups that this engine has joined. */
    #highestEpoch = 0;

    readonly #handlers: Record<string, (order: Order) => number> = {
        join: (order) => this.#join(order),
        open: (order) => this.#setState(order, ["ready", "open"], "open"),
        close: (order) => this.#setState(order, ["open", "closing", "ready"], "ready"),
        leave: (order) => {
            this.#group = this.#isInGroupOf(order) ? undefined : this.#group;
            return 200;
        },
        stage: ({ model = "" }) => {
            this.#stagedModels = [model];
            return 202;
        },
    };

    constructor(options: GroupMemberOptions) {
        this.#options = options;
    }

    /** Whether the engine accepts requests, as the head of an open group. */
    get acceptsRequests(): boolean {
        return this.#group?.state === "open" && this.#group.rank === 0;
    }

    get isBrokenHead(): boolean {
        return this.#group?.state === "broken" && this.#group.rank === 0;
    }

    /** Current group; a new object after each join. */
    get group(): { readonly epoch: number; } | undefined {
        return this.#group;
    }

    /** Returns the group-related fields of a registration. */
    registration(): object {
        const group = this.#group;
        return {
            staged: this.#stagedModels,
            models: this.#loadedModels.map((name) => ({ name, version: 1, adapters: [] })),
            group: group && { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
        };
    }

    /** Executes an order. Returns the HTTP status of its answer. */
    executeOrder(order: Order): number {
        return this.#handlers[order.operation]?.(order) ?? 400;
    }

    /** Whether all members of the current group are running and in it. */
    isComplete(): boolean {
        const { fleet } = this.#options;
        const group = this.#group;
        return fleet === undefined || group === undefined
            || group.members.every((id) => fleet.engines.get(id)?.member.isMemberOf(group));
    }

    /** Marks a head as broken whose group has been incomplete for `STALL_MS`. */
    checkMembers(): void {
        const group = this.#group;
        if (group === undefined || !this.isHeadOf(group) || this.isComplete()) {
            this.#incompleteSinceMs = undefined;
            return;
        }
        this.#incompleteSinceMs ??= performance.now();
        if (performance.now() - this.#incompleteSinceMs >= STALL_MS) {
            group.state = "broken";
        }
    }

    /** Reports a violation if a request begins in a group whose members have not all been ready. */
    checkGroupReady(): void {
        const { fleet, id } = this.#options;
        const group = this.#group;
        if (fleet === undefined || group === undefined) {
            return;
        }
        const missing = group.members.filter((memberId) =>
            fleet.engines.get(memberId)?.member.wasReadyFor(group) === false
        );
        if (group.members.length !== fleet.modelSizes[group.model] || missing.length > 0) {
            fleet.onViolation(
                "PARTIAL",
                `${id} serves ${group.name}/${group.epoch} without ${missing.join()}`,
            );
        }
    }

    /** Whether this engine has been ready in a group of this name, epoch and member list. */
    wasReadyFor(group: Membership): boolean {
        return this.#readyGroupKeys.has(groupKeyOf(group));
    }

    isMemberOf({ name, epoch }: Membership): boolean {
        return !this.#options.isFrozen() && this.#group?.name === name && this.#group.epoch === epoch;
    }

    /** Whether this engine heads the group and is open or closing. */
    isHeadOf({ name, epoch }: Membership): boolean {
        const current = this.#group;
        return current?.name === name && current.epoch === epoch
            && ["open", "closing"].includes(current.state);
    }

    #join(order: Order): number {
        const current = this.#group;
        if (order.epoch < this.#highestEpoch) {
            return 412;
        }
        const { fleet, id } = this.#options;
        const members = order.members ?? [];
        if (current !== undefined && this.#isInGroupOf(order)) {
            return current.members.join() === members.join() ? 200 : 412;
        }
        this.#highestEpoch = order.epoch;
        const headId = current?.members[0] ?? "";
        if (current !== undefined && fleet?.engines.get(headId)?.member.isHeadOf(current)) {
            fleet.onViolation(
                "TWO",
                `${id} joins ${order.group} while ${current.name} is served by ${headId}`,
            );
        }
        const joined = {
            name: order.group,
            epoch: order.epoch,
            rank: members.indexOf(id),
            state: "joining",
            model: order.model ?? "",
            members,
        };
        this.#group = joined;
        setTimeout(() => this.#becomeReady(joined), this.loadMs);
        return 202;
    }

    #becomeReady(joined: Membership): void {
        if (this.#group === joined) {
            joined.state = "ready";
            this.#readyGroupKeys.add(groupKeyOf(joined));
            this.#loadedModels = [joined.model];
            this.#stagedModels = [joined.model];
            this.#options.onReady();
        }
    }

    #setState(order: Order, from: string[], to: string): number {
        if (!this.#isInGroupOf(order) || this.#group === undefined || !from.includes(this.#group.state)) {
            return 409;
        }
        this.#group.state = to;
        return 202;
    }

    #isInGroupOf({ group, epoch }: Order): boolean {
        return this.#group?.name === group && this.#group.epoch === epoch;
    }
}

const groupKeyOf = ({ name, epoch, members }: Membership): string => `${name}/${epoch}/${members.join()}`;
