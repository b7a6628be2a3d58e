import type { FleetState } from "./controller.ts";
import { GroupPhase } from "./group.ts";
import { OrderOutcome } from "./orders.ts";
import { domainModelKey, planMemberStaging, planSpareStaging, type StagingPlan } from "./planner.ts";
import type { ModelService, PlannerInputs } from "./plannerinputs.ts";
import { JOIN_TIMEOUT_FACTOR } from "./timing.ts";
import type { WeightLoads } from "./weightloads.ts";

/** Share of the concurrent loads that staging never uses. */
const RESERVED_LOAD_SHARE = 0.4;

/** Stages weights on the hosts of VMs before a member is lost. */
export class WeightStaging {
    readonly #state: FleetState;
    readonly #plannerInputs: PlannerInputs;
    readonly #loads: WeightLoads;

    constructor(state: FleetState, plannerInputs: PlannerInputs, loads: WeightLoads) {
        this.#state = state;
        this.#plannerInputs = plannerInputs;
        this.#loads = loads;
    }

    /** Starts planned staging within the available loads. */
    stage(nowMs: number): void {
        for (const service of this.#plannerInputs.plannableServices(nowMs)) {
            const input = this.#plannerInputs.input(service, nowMs);
            // Some loads are reserved for members of groups, whose capacity is missing until they are ready.
            const availableStagingLoads = input.availableLoads
                - Math.floor(service.engine.loadsAtOnce * RESERVED_LOAD_SHARE);
            const memberCounts = new Map<string, number>();
            for (const { fabricDomain, model, memberIds } of this.#state.groups.all()) {
                const key = domainModelKey(fabricDomain, model);
                memberCounts.set(key, (memberCounts.get(key) ?? 0) + memberIds.length);
            }
            const plans = planSpareStaging({ ...input, availableLoads: availableStagingLoads }, memberCounts);
            plans.forEach((plan) => this.#startStaging(service.name, plan, nowMs));
            this.#stageMembers(service, availableStagingLoads - plans.length, nowMs);
        }
    }

    /**
     * Stages a different model on the hosts of members of open groups, so that they can join groups of either model.
     */
    #stageMembers(service: ModelService, availableLoads: number, nowMs: number): void {
        const members = this.#state.groups.all()
            .filter((group) => group.service === service.name && group.phase === GroupPhase.Open)
            .flatMap((group) => this.#plannerInputs.usableMembers(group, nowMs));
        const input = { ...this.#plannerInputs.input(service, nowMs), availableLoads };
        for (const plan of planMemberStaging(input, members)) {
            this.#startStaging(service.name, plan, nowMs);
        }
    }

    #startStaging(service: string, { serverId, model }: StagingPlan, nowMs: number): void {
        const { context, lifecycle } = this.#state;
        const deadlineMs = nowMs + JOIN_TIMEOUT_FACTOR * model.loadMs;
        this.#loads.recordStart(service, { serverId, model: model.name, deadlineMs }, nowMs);
        context.decisions.record("vm.stage", { server: serverId, model: model.name });
        lifecycle.run(
            () => this.#orderToStage(serverId, model.name),
            (error) =>
                context.decisions.record("vm.stage.failed", { server: serverId, reason: String(error) }),
        );
    }

    async #orderToStage(serverId: string, model: string): Promise<void> {
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
