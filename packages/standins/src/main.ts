/** Runs one stand-in: `main.ts model|ledger OPTIONS_JSON`. SIGTERM makes it leave gracefully. */
import type { Backend } from "./backend.ts";
import { ModelEngine } from "./engine.ts";
import { LedgerEngine } from "./ledger.ts";
import type { StandinOptions } from "./options.ts";

const constructors: Record<string, new(options: StandinOptions) => Backend> = {
    model: ModelEngine,
    ledger: LedgerEngine,
};

const [kind, json] = process.argv.slice(2);
const constructor = constructors[kind ?? ""];
if (constructor === undefined || json === undefined) {
    console.error("usage: main.ts model|ledger OPTIONS_JSON");
    process.exit(2);
}
const backend = new constructor(JSON.parse(json) as StandinOptions);
await backend.start();
console.log(JSON.stringify({ url: backend.url }));
process.once("SIGTERM", () => void backend.leave().then(() => process.exit(0)));
