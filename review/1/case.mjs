// A planned replacement of a core machine, and then the loss of one disk.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ledgerConfiguration, Operator, PlainServer, sendRequest, waitFor, waitReady } from "../lib/callers.mjs";
import { BOUNDS, hasTrouble, now, runCase, sleep } from "../lib/system.mjs";

/** The successor runs much longer than `catch_up_s` before the old machine goes. */
const SUCCESSOR_LEAD_MS = 10_000;
/** Time from the end of the removed process to the loss of the disk. */
const LOSS_DELAY_MS = Number(process.env.LOSS_DELAY_MS ?? 1_500);
const DOWN_MS = 1_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const operator = new Operator(system, record);
    const server = new PlainServer(system, record, { id: "i-1", service: "ledger", zone: "jhb-north", host: `${system.network}.101` });
    await server.start();
    let version = 10;
    await waitFor("the first acknowledgement", () => operator.replace(ledgerConfiguration(version)));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));
    await waitFor("a first answer", async () =>
        (await sendRequest(record, system.entries[0], { method: "GET", path: "/read/1" })).status === 200);

    const old = system.leader();
    const [first, second] = system.controls.filter((machine) => machine !== old);
    record.write("plan: a successor starts", { old: old.name });
    const successor = system.add("control", old.zone);
    system.launch(successor);
    await sleep(SUCCESSOR_LEAD_MS);
    await system.remove(old);
    await sleep(LOSS_DELAY_MS);
    version += 3;
    const isAcknowledged = await operator.replace(ledgerConfiguration(version));
    if (!isAcknowledged) {
        throw new Error("the change was not acknowledged before the loss");
    }
    // The machine that has acknowledged the change loses its disk; the successor passes changes on and keeps its disk.
    const lost = isAcknowledged === successor ? first : isAcknowledged;
    if (hasTrouble) {
        await system.wipe(lost, DOWN_MS);
    }
    const kept = lost === first ? second : first;
    record.write("all machines run", { lost: hasTrouble ? lost.name : "none", kept: kept.name });

    // All machines are back. The rule gives them `recover_s`; the operator then reads for longer than `contact_ms`.
    await sleep(BOUNDS.recover_s * 1_000 + 8_000);
    const reads = [];
    const endsAt = now() + 4 * BOUNDS.contact_ms;
    while (now() < endsAt) {
        reads.push(...await operator.readEverywhere());
        await sleep(500);
    }
    version += 2;
    const next = await operator.replace(ledgerConfiguration(version), { tries: 10 });
    const broken = [];
    if (reads.length === 0) {
        broken.push(`CONFIG: read back, version ${operator.acknowledged} doesn't come from any machine`);
    }
    if (reads.some((read) => read < operator.acknowledged && next === undefined)) {
        broken.push("CONFIG: an older version is read back");
    }
    if (next === undefined) {
        broken.push(`no daemon acknowledges version ${version}`);
    }
    return broken;
});
