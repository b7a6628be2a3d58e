import type { FleetState } from "./controller.ts";
import { GroupPhase } from "./group.ts";
import { OrderOutcome } from "./orders.ts";
import { domainModelKey, planMemberStaging, planSpareStaging, type StagePlan } from "./planner.ts";
import type { ModelService, PlannerInputs } from "./plannerinputs.ts";
import { JOIN_TIMEOUT_FACTOR } from "./timing.ts";
import type { WeightLoads } from "./weightloads.ts";

/** Part of the loads at once that is never used to stage spares. */
const LOADS_KEPT_SHARE = 0.4;

/** Has VMs load weights onto their hosts in advance of a loss. */
export class WeightStaging {
    readonly #state: FleetState;
    readonly #source: PlannerInputs;
    readonly #loads: WeightLoads;

    constructor(state: FleetState, source: PlannerInputs, loads: WeightLoads) {
        this.#state = state;
        this.#source = source;
        this.#loads = loads;
    }

    /** Begins the loads onto hosts that are wanted and allowed. */
    stage(nowMs: number): void {
        for (const service of this.#source.services(nowMs)) {
            const input = this.#source.input(service, nowMs);
            // Some loads stay free for members of groups, which are missed now.
            const stagingAllowed = input.availableLoads
                - Math.floor(service.engine.loadsAtOnce * LOADS_KEPT_SHARE);
            const memberCounts = new Map<string, number>();
            for (const { fabricDomain, model, memberIds } of this.#state.groups.all()) {
                const key = domainModelKey(fabricDomain, model);
                memberCounts.set(key, (memberCounts.get(key) ?? 0) + memberIds.length);
            }
            const plans = planSpareStaging({ ...input, availableLoads: stagingAllowed }, memberCounts);
            plans.forEach((plan) => this.#begin(service.name, plan, nowMs));
            this.#stageMembers(service, stagingAllowed - plans.length, nowMs);
        }
    }

    /** Members of open groups load another model onto their hosts, so that the domain can form groups of either. */
    #stageMembers(service: ModelService, loadsAllowed: number, nowMs: number): void {
        const members = this.#state.groups.all()
            .filter((group) => group.service === service.name && group.phase === GroupPhase.Open)
            .flatMap((group) => this.#source.usableMembers(group, nowMs));
        const input = { ...this.#source.input(service, nowMs), loadsAllowed };
        for (const plan of planMemberStaging(input, members)) {
            this.#begin(service.name, plan, nowMs);
        }
    }

    #begin(service: string, { serverId, model }: StagePlan, nowMs: number): void {
        const { context, lifecycle } = this.#state;
        const untilMs = nowMs + JOIN_TIMEOUT_FACTOR * model.loadMs;
        this.#loads.recordStart(service, { serverId, model: model.name, untilMs }, nowMs);
        context.decisions.record("vm.stage", { server: serverId, model: model.name });
        lifecycle.run(
            () => this.#order(serverId, model.name),
            (error) =>
                context.decisions.record("vm.stage.failed", { server: serverId, reason: String(error) }),
        );
    }

    async #order(serverId: string, model: string): Promise<void> {
        const { registry, orders, context } = this.#state;
        const server = registry.get(serverId);
        if (server === undefined || !this.#state.mayAct()) {
            return;
        }
        const outcome = await orders.stage(server.report, model);
        if (outcome !== OrderOutcome.Accepted) {
            context.decisions.record("vm.stage.failed", { server: serverId, model, outcome });
        }
    }
}
