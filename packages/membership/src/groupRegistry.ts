import { type Context, type Log, LogPart, monotonicMs } from "@greengage/base";
import { GroupState } from "@greengage/protocol";
import { DowntimeCause, type Group } from "./group.ts";

const KEPT_DISSOLVED = 1_000;

/** The replica groups of a zone, as its controller knows them. */
export class GroupRegistry {
    readonly #groups = new Map<string, Group>();
    readonly #byVm = new Map<string, Group>();
    #dissolved = new Set<string>();
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

    /** Number of groups that list a VM; more than one violates P2. */
    countOf(vmId: string): number {
        return this.all().filter((group) => group.memberVmIds.includes(vmId)).length;
    }

    add(group: Group): void {
        this.#groups.set(group.groupId, group);
        this.#index(group);
        this.#record(group);
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

    remove(group: Group, cause: DowntimeCause): void {
        this.setState(group, GroupState.Dissolved, cause);
        this.#unindex(group);
        this.#groups.delete(group.groupId);
        this.#dissolved.add(group.groupId);
        if (this.#dissolved.size > KEPT_DISSOLVED) {
            this.#dissolved = new Set([...this.#dissolved].slice(-KEPT_DISSOLVED / 2));
        }
    }

    setState(group: Group, state: GroupState, cause: DowntimeCause): void {
        group.cause = cause;
        if (group.state === state) {
            return;
        }
        group.state = state;
        group.sinceMs = monotonicMs();
        this.#record(group);
    }

    /** Whether this controller has dissolved the group. */
    wasDissolved(groupId: string): boolean {
        return this.#dissolved.has(groupId);
    }

    clear(): void {
        this.#dissolved.clear();
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

    #record(group: Group): void {
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
