// A server's deregistration has been acknowledged. Then the leader is killed, and an older heartbeat of the server arrives late.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    call,
    ledgerConfiguration,
    Operator,
    PlainServer,
    startDelayingProxy,
    startTraffic,
    waitFor,
    waitReady,
} from "../lib/callers.mjs";
import { BOUNDS, hasTrouble, now, runCase, sleep } from "../lib/system.mjs";

const HEARTBEAT_DELAY_MS = 5_000;
/** The server goes on serving for `drain_ms` and, as the pages say, "at times many seconds" longer. */
const LINGER_MS = BOUNDS.drain_ms + 8_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const operator = new Operator(system, record);
    const servers = ["jhb-north", "jhb-east", "pta-central"].map((zone, index) =>
        new PlainServer(system, record, { id: `i-${index + 1}`, service: "ledger", zone, host: `${system.network}.${101 + index}` })
    );
    await Promise.all(servers.map((server) => server.start()));
    await waitFor("the first acknowledgement", () => operator.replace(ledgerConfiguration(10)));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));
    const [leaving] = servers;
    const traffic = startTraffic(system, record, 40, (count) =>
        count % 4 === 0
            ? { method: "POST", path: `/pay/${count}`, body: `amount ${count}` }
            : { method: "GET", path: `/read/${count}` });
    await waitFor("requests at the server", () => leaving.arrivals.length > 5);
    await sleep(2 * BOUNDS.contact_ms);

    const leader = system.leader();
    const follower = system.controls.find((machine) => machine !== leader);
    // A heartbeat that the network holds up. The server gets no answer within a second and calls the next daemon.
    leaving.beats = false;
    const proxy = await startDelayingProxy(`${system.network}.150`, follower.control, HEARTBEAT_DELAY_MS);
    const late = leaving.heartbeat();
    record.write("server sends a heartbeat that will be late", { server: leaving.id, sequence: leaving.sequence });
    const sentAt = now();
    void call(proxy.address, {
        method: "POST",
        path: late.path,
        headers: { "content-type": "application/json" },
        body: late.body,
        timeoutMs: HEARTBEAT_DELAY_MS + 1_000,
    }).then(({ status, error }) =>
        record.write("the late heartbeat got its answer", { from: follower.name, status, error, afterMs: Math.round(now() - sentAt) })
    );
    await sleep(1_000);
    await leaving.send(leaving.heartbeat());
    await sleep(300);
    const acknowledgedBy = await leaving.deregister();
    if (acknowledgedBy === undefined) {
        throw new Error("the deregistration was not acknowledged");
    }
    const acknowledgedAt = now();
    await sleep(700);
    let calmFrom = acknowledgedAt;
    if (hasTrouble) {
        system.kill(leader);
        const starts = leader.starts;
        await waitFor("the restart", () => leader.starts > starts, 5_000);
        calmFrom = now() + BOUNDS.contact_ms;
    }
    await sleep(LINGER_MS - (now() - acknowledgedAt));
    leaving.exit();
    await sleep(3_000);
    traffic.stop();
    await sleep(2_600);
    proxy.close();

    const sentAtById = new Map(traffic.results.map(({ id, sentAt: at }) => [id, at]));
    // Only requests of calm machines count: those sent `contact_ms` after the killed process was started again, or later.
    const late_ = leaving.arrivals.filter(({ id, at }) =>
        at > acknowledgedAt + BOUNDS.drain_ms && (sentAtById.get(id) ?? 0) > Math.max(calmFrom, acknowledgedAt + BOUNDS.drain_ms)
    );
    const failed = traffic.results.filter(({ sentAt: at, status }) => at > calmFrom && status !== 200);
    record.write("counted", {
        lateRequests: late_.length,
        firstAfterMs: late_[0] === undefined ? undefined : Math.round(late_[0].at - acknowledgedAt),
        lastAfterMs: late_.length === 0 ? undefined : Math.round(late_.at(-1).at - acknowledgedAt),
        failedRequests: failed.length,
        failures: [...new Set(failed.map(({ status, error }) => status ?? error))].join("/"),
    });
    return late_.length > 0
        ? [`DRAIN: ${late_.length} requests reached ${leaving.id} more than ${BOUNDS.drain_ms} ms after its deregistration was acknowledged; ${failed.length} requests failed`]
        : [];
});
