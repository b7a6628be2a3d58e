import type { EngineFleet } from "./engine.ts";

const LOAD_MS = 50;
/** Work of a group that has lost a member stands still for this long, then the head is broken. */
const STALL_MS = 1_500;

/** An order to an engine, as it is written on the wire. */
export interface Order {
    operation: string;
    group: string;
    epoch: number;
    model?: string;
    members?: string[];
}

/** An engine's place in a group. */
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
    /** The engines that can be in groups together. Without it, checks of groups are left out. */
    fleet: EngineFleet | undefined;
    /** Whether the engine's process stands still. */
    isFrozen: () => boolean;
    /** Called when a member has become ready. */
    onReady: () => void;
}

/** An engine's part in groups: it carries out orders, and notes those that the platform punishes. */
export class GroupMember {
    readonly #options: GroupMemberOptions;
    /** Groups for which this engine was ready, as `name/epoch/members`. */
    readonly #readyFor = new Set<string>();
    #group: Membership | undefined;
    #staged: string[] = [];
    #loaded: string[] = [];
    #partedAtMs: number | undefined;

    readonly #handlers: Record<string, (order: Order) => number> = {
        join: (order) => this.#join(order),
        open: (order) => this.#setState(order, ["ready", "open"], "open"),
        close: (order) => this.#setState(order, ["open", "closing", "ready"], "ready"),
        leave: (order) => {
            this.#group = this.#isIn(order) ? undefined : this.#group;
            return 200;
        },
        stage: ({ model = "" }) => {
            this.#staged = [model];
            return 202;
        },
    };

    constructor(options: GroupMemberOptions) {
        this.#options = options;
    }

    /** Whether requests are taken: the engine is the head of an open group. */
    get takesRequests(): boolean {
        return this.#group?.state === "open" && this.#group.rank === 0;
    }

    get isBrokenHead(): boolean {
        return this.#group?.state === "broken" && this.#group.rank === 0;
    }

    /** Group that the engine is in; changes with each join. */
    get group(): object | undefined {
        return this.#group;
    }

    /** Fields of a registration. */
    registration(): object {
        const group = this.#group;
        return {
            staged: this.#staged,
            models: this.#loaded.map((name) => ({ name, version: 1, adapters: [] })),
            group: group && { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
        };
    }

    /** Carries out an order. Returns the status of its answer. */
    order(order: Order): number {
        return this.#handlers[order.operation]?.(order) ?? 400;
    }

    /** Whether all members of the own group are there. */
    isWhole(): boolean {
        const { fleet } = this.#options;
        const group = this.#group;
        return fleet === undefined || group === undefined
            || group.members.every((id) => fleet.engines.get(id)?.member.isMemberOf(group));
    }

    /** A head that has lost a member stands still, and is broken after a while. */
    checkMembers(): void {
        const group = this.#group;
        if (group === undefined || !this.heads(group) || this.isWhole()) {
            this.#partedAtMs = undefined;
            return;
        }
        this.#partedAtMs ??= performance.now();
        if (performance.now() - this.#partedAtMs >= STALL_MS) {
            group.state = "broken";
        }
    }

    /** A request may begin only in a group with all of its members. */
    checkRequest(): void {
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

    /** Whether this engine has been ready under the name, epoch and list of a group. */
    wasReadyFor(group: Membership): boolean {
        return this.#readyFor.has(keyOf(group));
    }

    isMemberOf({ name, epoch }: Membership): boolean {
        return !this.#options.isFrozen() && this.#group?.name === name && this.#group.epoch === epoch;
    }

    /** Whether this engine heads the group, and is not broken. */
    heads({ name, epoch }: Membership): boolean {
        const own = this.#group;
        return own?.name === name && own.epoch === epoch && ["open", "closing"].includes(own.state);
    }

    #join(order: Order): number {
        const own = this.#group;
        if (order.epoch < (own?.epoch ?? 0)) {
            return 412;
        }
        const { fleet, id } = this.#options;
        const members = order.members ?? [];
        const headId = own?.members[0] ?? "";
        if (own !== undefined && !this.#isIn(order) && fleet?.engines.get(headId)?.member.heads(own)) {
            fleet.onViolation("TWO", `${id} joins ${order.group} while ${own.name} is served by ${headId}`);
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
        setTimeout(() => this.#becomeReady(joined), LOAD_MS);
        return 202;
    }

    #becomeReady(joined: Membership): void {
        if (this.#group === joined) {
            joined.state = "ready";
            this.#readyFor.add(keyOf(joined));
            this.#loaded = [joined.model];
            this.#staged = [joined.model];
            this.#options.onReady();
        }
    }

    #setState(order: Order, from: string[], to: string): number {
        if (!this.#isIn(order) || this.#group === undefined || !from.includes(this.#group.state)) {
            return 409;
        }
        this.#group.state = to;
        return 202;
    }

    #isIn({ group, epoch }: Order): boolean {
        return this.#group?.name === group && this.#group.epoch === epoch;
    }
}

const keyOf = ({ name, epoch, members }: Membership): string => `${name}/${epoch}/${members.join()}`;
