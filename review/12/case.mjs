import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Ledger } from "../lib-3/ledger.mjs";
import {
    BOUNDS, call, clientHeaders, hasTrouble, plainConfiguration, readConfiguration, replaceConfiguration, requestId, runCase, sleep, System,
    waitFor,
} from "../lib-3/system.mjs";

/** Time from the loss of the disk to the SIGTERM of the machine that is replaced. */
const SIGTERM_AFTER_MS = Number(process.env.SIGTERM_AFTER_MS ?? 300);
const BACK_AFTER_MS = 1000;
const WATCHED_S = 40;

/** The control machine that was elected last, by its own log. */
const leaderOf = (system) =>
    system.cores.map((core) => {
        const [, at, term] = /.*"at":"([^"]+)"[^\n]*elected leader of term (\d+)/s.exec(system.log(core)) ?? [];
        return { core, at, term: Number(term ?? 0) };
    }).sort((a, b) => b.term - a.term)[0].core;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
    const system = await System.create(record, { cores: 3, fronts: 2 });
    onEnd(() => system.stop());
    const controls = () => system.cores.filter(({ isRemoved }) => !isRemoved).map((core) => system.control(core));
    for (const zone of ["jhb-north", "jhb-east"]) {
        const ledger = await new Ledger({ controls, record, zone }).start();
        onEnd(() => ledger.stop());
    }
    system.startAll();
    let version = 0;
    const change = async (cores) => {
        version += 1;
        const { isAcknowledged, by, last } = await replaceConfiguration(system, plainConfiguration(version), { cores, limitMs: 15_000 });
        if (!isAcknowledged) {
            throw new Error(`version ${version} was not acknowledged: ${JSON.stringify(last)}`);
        }
        return by;
    };
    await change();
    const request = (front) =>
        call(system.front(front), { path: "/read/1", headers: clientHeaders(requestId()), timeoutMs: 2500 });
    for (const front of system.fronts) {
        await waitFor("the first answer", async () => (await request(front)).status === 200);
    }
    await change();
    // replace_core (planned): the new machine comes first, with an empty disk at another address.
    const successor = system.addDaemon("control", 3);
    successor.isFirstStart = false;
    system.start(successor);
    await waitFor("the new machine serves", async () => (await readConfiguration(system, successor)).status === 200);
    record.add(`${successor.name} has come and serves the configuration`);
    // Longer than catch_up_s after its start, so that the machine that it replaces doesn't count any more once it is removed.
    await sleep(1000 * BOUNDS.catch_up_s + 2000);
    const leader = leaderOf(system);
    const removed = system.cores.find((core) => core !== leader && core !== successor);
    await change([leader]);
    record.add(`version ${version} was acknowledged by ${leader.name}`);
    const lost = leader;
    const stopping = async () => {
        await sleep(SIGTERM_AFTER_MS);
        // The machine that is replaced: SIGTERM, and it never comes back.
        removed.isHeld = true;
        removed.isRemoved = true;
        const { child } = removed;
        const ended = new Promise((done) => child.once("exit", done));
        system.signal(removed, "SIGTERM");
        await Promise.race([ended, sleep(1000 * BOUNDS.grace_s).then(() => child.kill("SIGKILL"))]);
        record.add(`${removed.name} is removed for good, ${successor.name} has taken its place`);
    };
    if (hasTrouble) {
        // after_ack_wipe: the machine that has just acknowledged the change loses its disk.
        await system.kill(lost, { isHeld: true });
        system.wipe(lost);
    }
    await Promise.all([
        stopping(),
        hasTrouble ? sleep(BACK_AFTER_MS).then(() => system.release(lost)) : undefined,
    ]);
    const untilMs = performance.now() + 1000 * WATCHED_S;
    const answers = new Map();
    let best = 0;
    while (performance.now() < untilMs && best < version) {
        for (const core of system.cores.filter(({ isRemoved }) => !isRemoved)) {
            const { status, error, text } = await readConfiguration(system, core);
            const key = `${core.name}: ${status ?? error}`;
            answers.set(key, (answers.get(key) ?? 0) + 1);
            best = status === 200 ? Math.max(best, JSON.parse(text).version) : best;
        }
        await sleep(250);
    }
    answers.forEach((count, key) => record.add(`read back from ${key}, ${count} times`));
    system.cores.forEach((core) => record.add(`${core.name}: ${core.child === undefined ? "not running" : "running"}`));
    record.add(`newest acknowledged version: ${version}, read back: ${best === 0 ? "nothing" : best}`);
    const next = await replaceConfiguration(system, plainConfiguration(version + 1), {
        cores: system.cores.filter(({ isRemoved }) => !isRemoved), limitMs: 8000,
    });
    record.add(`a further change is ${next.isAcknowledged ? "acknowledged" : "not acknowledged"}`);
    return best < version;
});
