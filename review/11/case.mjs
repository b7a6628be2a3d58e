import { existsSync, statSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Ledger } from "../lib-3/ledger.mjs";
import {
    BOUNDS, call, clientHeaders, hasTrouble, plainConfiguration, readConfiguration, replaceConfiguration, requestId, runCase, sleep, System,
    waitFor,
} from "../lib-3/system.mjs";

/** More than the 64 entries after which the log is compacted; "a day may be long and may contain hundreds of changes". */
const CHANGES = 140;
const MAX_TRIES = 5;

const sizeOf = (path) => existsSync(path) ? statSync(path).size : 0;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
    const system = await System.create(record, { cores: 3, fronts: 1 });
    onEnd(() => system.stop());
    const controls = () => system.cores.map((core) => system.control(core));
    const ledger = await new Ledger({ controls, record }).start();
    onEnd(() => ledger.stop());
    system.startAll();
    let version = 1;
    const change = async (cores) => {
        version += 1;
        const result = await replaceConfiguration(system, plainConfiguration(version), { cores, limitMs: 15_000 });
        if (!result.isAcknowledged) {
            throw new Error(`version ${version} was not acknowledged: ${JSON.stringify(result.last)}`);
        }
        return result.by;
    };
    await change();
    const request = () =>
        call(system.front(system.fronts[0]), { path: "/read/1", headers: clientHeaders(requestId()), timeoutMs: 2500 });
    await waitFor("the first answer", async () => (await request()).status === 200);
    record.add("the first request was answered 200");
    while (version < CHANGES) {
        await change();
    }
    record.add(`${version} configurations were acknowledged`);

    const victim = system.cores[2];
    const others = system.cores.slice(0, 2);
    if (hasTrouble) {
        for (let attempt = 1; attempt <= MAX_TRIES; attempt += 1) {
            // after_ack_wipe: the machine restarts at its old address, with an empty disk and without `bootstrap`.
            await system.kill(victim, { isHeld: true });
            system.wipe(victim);
            await sleep(1000);
            system.release(victim);
            // node_kill: its process is killed while it takes over the state from the leader.
            const snapshot = join(victim.dataFolder, "snapshot");
            const log = join(victim.dataFolder, "log");
            const untilMs = performance.now() + 10_000;
            while (!existsSync(snapshot) && performance.now() < untilMs) {
                await new Promise(setImmediate);
            }
            await system.kill(victim, { isHeld: true });
            const logBytes = sizeOf(log);
            record.add(`killed with ${sizeOf(snapshot)} bytes of snapshot and ${logBytes} bytes of log on its disk, try ${attempt}`);
            await sleep(300);
            system.release(victim);
            await waitFor("the killed machine serves again", async () => (await readConfiguration(system, victim)).status === 200);
            record.add(`${victim.name} serves again`);
            if (logBytes === 0) {
                break;
            }
            await sleep(1000 * BOUNDS.catch_up_s);
        }
    }
    // Longer than contact_ms and catch_up_s, so that nothing counts as lost any more.
    await sleep(5000);
    await change();
    await change();
    record.add(`version ${version} was acknowledged`);
    await sleep(1000);
    if (hasTrouble) {
        // Planned work: roll_term.
        system.signal(victim, "SIGTERM");
    }
    await sleep(9000);
    const after = await readConfiguration(system, victim);
    record.add(`${victim.name}: ${victim.ownExits} ends by itself since its start; a read of the configuration there: ${after.status ?? after.error}`);
    record.add(`its last words: ${system.log(victim).split("\n").filter((line) => line.includes("startFailed")).at(-1) ?? "none"}`);

    // The final fault, wipe_after_ack: one machine loses its disk right after it has acknowledged a change.
    const last = await change(others);
    record.add(`version ${version} was acknowledged by ${last.name}`);
    if (hasTrouble) {
        await system.kill(last, { isHeld: true });
        system.wipe(last);
        await sleep(1000);
        system.release(last);
    }
    const untilMs = performance.now() + 1000 * (BOUNDS.recover_s + BOUNDS.contact_ms / 1000 + 10);
    let best = 0;
    const answers = new Map();
    while (performance.now() < untilMs && best < version) {
        for (const core of system.cores) {
            const { status, error, text } = await readConfiguration(system, core);
            const key = `${core.name}: ${status ?? error}`;
            answers.set(key, (answers.get(key) ?? 0) + 1);
            if (status === 200) {
                best = Math.max(best, JSON.parse(text).version);
            }
        }
        await sleep(250);
    }
    answers.forEach((count, key) => record.add(`read back from ${key}, ${count} times`));
    record.add(`newest acknowledged version: ${version}, read back: ${best === 0 ? "nothing" : best}`);
    const next = await replaceConfiguration(system, plainConfiguration(version + 1), { limitMs: 5000 });
    record.add(`a further change is ${next.isAcknowledged ? "acknowledged" : "not acknowledged"}`);
    return best < version;
});
