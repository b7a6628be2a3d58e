// One heartbeat of another writer names a service that isn't known, and a group with a very large epoch.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, callControl, ledgerConfiguration, Operator, PlainServer, startTraffic, waitFor, waitReady } from "../lib/callers.mjs";
import { chatRequest, Engine, Fleet, modelConfiguration } from "../lib/engines.mjs";
import { BOUNDS, hasTrouble, runCase, sleep } from "../lib/system.mjs";

const MODELS = [{ name: "m0", size: 2, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }];
const EPOCH = Number(process.env.EPOCH ?? 2 ** 48);
/** Traffic starts 12 s after the machines do. */
const LEAD_MS = 12_000;
const TRAFFIC_MS = 25_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const lead = sleep(LEAD_MS);
    const operator = new Operator(system, record);
    const models = modelConfiguration(10, MODELS);
    const ledger = ledgerConfiguration(10);
    const configuration = {
        ...models,
        routes: [...models.routes, ...ledger.routes],
        services: [...models.services, ...ledger.services],
    };
    await waitFor("the first acknowledgement", () => operator.replace(configuration));

    if (hasTrouble) {
        const answer = await callControl(system, {
            method: "POST",
            path: "/greengageridge/Instances.Heartbeat/odd-1",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                service: "not-named",
                address: `${system.network}.99:9`,
                zone: "jhb-north",
                version: "v1",
                slots: 1,
                state: "ready",
                cold_remaining_ms: 0,
                sequence: 1,
                born: 1,
                group: { name: "odd", epoch: EPOCH, rank: 0, state: "open" },
            }),
        });
        record.write("another writer sends one heartbeat", { epoch: EPOCH, status: answer.status });
    }
    const fleet = new Fleet(system, record, { modelSizes: { m0: 2 } });
    const engines = [["d0", 1], ["d0", 2], ["d0", 3], ["d1", 4], ["d1", 5], ["d1", 6]].map(([domain, number]) =>
        new Engine(fleet, { id: `i-${number}`, domain, zone: "jhb-north", host: `${system.network}.${100 + number}` })
    );
    const servers = [7, 8].map((number) =>
        new PlainServer(system, record, { id: `i-${number}`, service: "ledger", zone: "jhb-east", host: `${system.network}.${100 + number}` })
    );
    await Promise.all([...engines, ...servers].map((server) => server.start()));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));
    await lead;

    const traffic = startTraffic(system, record, 20, (count) =>
        Math.floor(count / 2) % 2 === 0 ? chatRequest("m0") : { method: "GET", path: `/read/${count}` });
    await sleep(TRAFFIC_MS);
    traffic.stop();
    await sleep(8_500);

    const shareOf = (results) => results.filter(({ status, error }) => status === 200 && !error).length / results.length;
    const chats = traffic.results.filter(({ path }) => path.startsWith("/chat/"));
    const [chatShare, allShare] = [shareOf(chats), shareOf(traffic.results)];

    // Two engines say that they leave, until they are acknowledged.
    const leaving = engines.filter(({ group }) => group !== undefined).slice(0, 2);
    const acknowledged = new Set();
    for (const engine of leaving) {
        engine.state = "draining";
        engine.beats = false;
    }
    const endsAt = Date.now() + BOUNDS.ack_timeout_ms + 1_000;
    while (Date.now() < endsAt && acknowledged.size < leaving.length) {
        for (const engine of leaving.filter((other) => !acknowledged.has(other))) {
            const { path, body } = engine.heartbeat();
            for (const { control, name } of system.controls) {
                const { status } = await call(control, { method: "POST", path, headers: { "content-type": "application/json" }, body });
                record.write("engine says that it leaves", { engine: engine.id, to: name, status });
                if (status === 200) {
                    acknowledged.add(engine);
                    break;
                }
            }
        }
        await sleep(500);
    }
    record.write("counted", {
        chats: chats.length,
        chatShare: chatShare.toFixed(3),
        allShare: allShare.toFixed(3),
        leaving: leaving.length,
        acknowledged: acknowledged.size,
        groups: JSON.stringify(engines.map((engine) => `${engine.id}: ${engine.description}`).join("; ")),
    });
    const broken = [];
    if (chatShare < allShare / 4) {
        broken.push(`Starved: restock-advice is served ${(100 * chatShare).toFixed(1)} in 100, all requests ${(100 * allShare).toFixed(1)} in 100`);
    }
    if (leaving.length > 0 && acknowledged.size < 0.8 * leaving.length) {
        broken.push(`Acks: ${leaving.length - acknowledged.size} of ${leaving.length} engines that say that they leave have no acknowledgement`);
    }
    return [...broken, ...fleet.broken];
});
