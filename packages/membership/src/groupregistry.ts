import { type Context, type Log, LogPart, monotonicMs } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import { DowntimeCause, type Group } from "./group.ts";

const MAX_DISSOLVED_IDS = 1_000;

/** The replica groups of a zone, as its controller knows them. */
export class GroupRegistry {
    readonly #groups = new Map<string, Group>();
    readonly #byVm = new Map<string, Group>();
    #dissolvedIds = new Set<string>();
    readonly #context: Context;
    readonly #log: Log;

    constructor(context: Context) {
        this.#context = context;
        this.#log = context.logs(LogPart.Groups);
    }

    all(): Group[] {
        return [...this.#groups.values()];
    }

    ofModel(model: string): Group[] {
        return this.all().filter((group) => group.model === model);
    }

    get(groupId: string): Group | undefined {
        return this.#groups.get(groupId);
    }

    groupOf(vmId: string): Group | undefined {
        return this.#byVm.get(vmId);
    }

    /** Number of groups that list a VM; more than one violates invariant P2. */
    groupCountOf(vmId: string): number {
        return this.all().filter((group) => group.memberVmIds.includes(vmId)).length;
    }

    add(group: Group): void {
        this.#groups.set(group.groupId, group);
        this.#index(group);
        this.#recordState(group);
    }

    /** Starts a new generation with other members. */
    replaceMembers(group: Group, incarnations: Map<string, string>): void {
        this.#unindex(group);
        group.memberVmIds = [...incarnations.keys()];
        group.incarnations = incarnations;
        group.generation += 1;
        group.drain = undefined;
        this.#index(group);
        this.setState(group, GroupState.Forming, DowntimeCause.Loading);
    }

    dissolve(group: Group, cause: DowntimeCause): void {
        this.setState(group, GroupState.Dissolved, cause);
        this.#unindex(group);
        this.#groups.delete(group.groupId);
        this.#dissolvedIds.add(group.groupId);
        if (this.#dissolvedIds.size > MAX_DISSOLVED_IDS) {
            this.#dissolvedIds = new Set([...this.#dissolvedIds].slice(-MAX_DISSOLVED_IDS / 2));
        }
    }

    setState(group: Group, state: GroupState, cause: DowntimeCause): void {
        group.cause = cause;
        if (group.state === state) {
            return;
        }
        group.state = state;
        group.stateSinceMs = monotonicMs();
        this.#recordState(group);
    }

    /** Whether this controller has dissolved the group. */
    wasDissolved(groupId: string): boolean {
        return this.#dissolvedIds.has(groupId);
    }

    clear(): void {
        this.#dissolvedIds.clear();
        this.#groups.clear();
        this.#byVm.clear();
    }

    #index(group: Group): void {
        for (const vmId of group.memberVmIds) {
            this.#byVm.set(vmId, group);
        }
    }

    #unindex(group: Group): void {
        for (const vmId of group.memberVmIds) {
            if (this.#byVm.get(vmId) === group) {
                this.#byVm.delete(vmId);
            }
        }
    }

    #recordState(group: Group): void {
        const { groupId, generation, model, state } = group;
        const cause = state === GroupState.Serving ? undefined : group.cause;
        const members = group.memberVmIds.join(" ");
        this.#context.timeline.record("groups", `group.${state}`, {
            groupId,
            generation,
            model,
            cause,
            members,
        });
        this.#log.info(`group ${groupId} is ${state}`, { generation, model, cause });
    }
}
