import type { ModelDemand } from "@greengage/protocol";

/** Counts the demand for each model since the last report to the controller. */
export class DemandMeter {
    readonly #demand = new Map<string, ModelDemand>();

    addTokens(service: string, model: string, tokens: number): void {
        this.#entry(service, model).tokens += tokens;
    }

    addRejected(service: string, model: string): void {
        this.#entry(service, model).rejected += 1;
    }

    /** Returns the counts and resets them. */
    collect(): ModelDemand[] {
        const demand = [...this.#demand.values()];
        this.#demand.clear();
        return demand;
    }

    #entry(service: string, model: string): ModelDemand {
        const key = `${service}\n${model}`;
        const entry = this.#demand.get(key) ?? { service, model, tokens: 0, rejected: 0 };
        this.#demand.set(key, entry);
        return entry;
    }
}
