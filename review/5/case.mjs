// The daemon that has acknowledged the deregistration of a model engine is killed right after that.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Operator, startTraffic, waitFor, waitReady } from "../lib/callers.mjs";
import { chatRequest, Engine, Fleet, modelConfiguration } from "../lib/engines.mjs";
import { BOUNDS, hasTrouble, now, runCase, sleep } from "../lib/system.mjs";

const MODELS = [{ name: "m0", size: 2, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }];
/** The engine goes on serving for `drain_ms` and, as the pages say, "at times many seconds" longer. */
const LINGER_MS = BOUNDS.drain_ms + 8_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const operator = new Operator(system, record);
    await waitFor("the first acknowledgement", () => operator.replace(modelConfiguration(10, MODELS)));
    const fleet = new Fleet(system, record, { modelSizes: { m0: 2 } });
    const engines = [["d0", 1], ["d0", 2], ["d0", 3], ["d1", 4], ["d1", 5], ["d1", 6]].map(([domain, number]) =>
        new Engine(fleet, { id: `i-${number}`, domain, zone: "jhb-north", host: `${system.network}.${100 + number}` })
    );
    await Promise.all(engines.map((engine) => engine.start()));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));
    const heads = () => engines.filter(({ group }) => group?.state === "open");
    await waitFor("two open groups", () => heads().length === 2, 15_000);
    const traffic = startTraffic(system, record, 20, () => chatRequest("m0"));
    await waitFor("requests at both groups", () => heads().every(({ arrivals }) => arrivals.length > 5));
    await sleep(2 * BOUNDS.contact_ms);

    const [leaving] = heads();
    const leader = system.leader();
    const acknowledgedBy = await leaving.deregister({ first: system.controls.indexOf(leader), tries: 1 });
    const acknowledgedAt = now();
    let calmFrom = acknowledgedAt;
    if (acknowledgedBy !== leader) {
        throw new Error("the leader did not acknowledge the deregistration");
    }
    if (hasTrouble) {
        const starts = leader.starts;
        system.kill(leader);
        await waitFor("the restart", () => leader.starts > starts, 5_000);
        calmFrom = now() + BOUNDS.contact_ms;
    }
    await sleep(LINGER_MS - (now() - acknowledgedAt));
    record.write("the leaving engine is in", { engine: leaving.id, state: JSON.stringify(leaving.description) });
    leaving.exit("it has left");
    await sleep(4_000);
    traffic.stop();
    await sleep(3_000);

    const sentAtById = new Map(traffic.results.map(({ id, sentAt }) => [id, sentAt]));
    const dueAt = acknowledgedAt + BOUNDS.drain_ms;
    const late = leaving.arrivals.filter(({ id, at }) => at > dueAt && (sentAtById.get(id) ?? 0) > Math.max(calmFrom, dueAt));
    const failed = traffic.results.filter(({ sentAt, status, error }) => sentAt > acknowledgedAt && (status !== 200 || error));
    record.write("counted", {
        lateRequests: late.length,
        firstAfterMs: late.length === 0 ? undefined : Math.round(late[0].at - acknowledgedAt),
        lastAfterMs: late.length === 0 ? undefined : Math.round(late.at(-1).at - acknowledgedAt),
        failedRequests: failed.length,
    });
    const broken = late.length === 0 ? [] : [
        `DRAIN: ${late.length} requests reached ${leaving.id} more than ${BOUNDS.drain_ms} ms after its deregistration was acknowledged; ${failed.length} requests failed`,
    ];
    return [...broken, ...fleet.broken];
});
