/**
 * Runs stand-ins: `main.ts model|ledger|host|weights OPTIONS_JSON`.
 * On SIGTERM the backend servers leave gracefully before the process exits.
 */
import type { Backend } from "./backend.ts";
import { ModelEngine } from "./engine.ts";
import { LedgerService } from "./ledger.ts";
import type { HostOptions, StandinOptions } from "./options.ts";
import { runWeightStore, type WeightStoreOptions } from "./weightstore.ts";

const backendClasses: Record<"model" | "ledger", new(options: StandinOptions) => Backend> = {
    model: ModelEngine,
    ledger: LedgerService,
};

const runBackends = async (backends: Backend[]): Promise<void> => {
    process.once("SIGTERM", () => {
        void Promise.all(backends.map((backend) => backend.leave())).then(() => process.exit(0));
    });
    for (const backend of backends) {
        await backend.start();
        console.log(JSON.stringify({ url: backend.url }));
    }
};

const runHost = (options: HostOptions): Promise<void> =>
    runBackends(options.vms.map((vm) => {
        const daemonUrls = options.daemonUrls[vm.zone] ?? [];
        return new backendClasses[vm.kind]({ ...vm, key: options.key, daemonUrls });
    }));

const runners: Record<string, (options: unknown) => Promise<void>> = {
    model: (options) => runBackends([new ModelEngine(options as StandinOptions)]),
    ledger: (options) => runBackends([new LedgerService(options as StandinOptions)]),
    host: (options) => runHost(options as HostOptions),
    weights: (options) => runWeightStore(options as WeightStoreOptions),
};

const [kind, json] = process.argv.slice(2);
const runStandins = runners[kind ?? ""];
if (runStandins === undefined || json === undefined) {
    console.error("usage: main.ts model|ledger|host|weights OPTIONS_JSON");
    process.exit(2);
}
await runStandins(JSON.parse(json));
