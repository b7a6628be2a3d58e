// Three times, faulty servers spoil one in twenty of their answers for five seconds: the bodies come in small chunks and have no end.
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ledgerConfiguration, Operator, PlainServer, startTraffic, waitFor, waitReady } from "../lib/callers.mjs";
import { BOUNDS, hasTrouble, now, runCase, sleep } from "../lib/system.mjs";

const REQUESTS_PER_S = Number(process.env.RATE ?? 120);
const SPOILT_SHARE = 0.05;
const BURST = 6;
const SPOIL_MS = 5_000;
/** Starts of the three disruptions, and the time after the last of them. */
const SPOIL_STARTS_MS = [0, 10_000, 20_000];
const CALM_MS = 8_000;
const TIMEOUT_MS = Number(process.env.TIMEOUT ?? 8_000);

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const operator = new Operator(system, record);
    const servers = ["jhb-north", "jhb-north", "jhb-east", "jhb-east"].map((zone, index) =>
        new PlainServer(system, record, { id: `i-${index + 1}`, service: "ledger", zone, host: `${system.network}.${101 + index}` })
    );
    // Half of the servers are faulty, one in each zone.
    const faulty = [servers[0], servers[2]];
    const sound = [servers[1], servers[3]];
    servers.forEach((server) => {
        server.workMs = 43;
    });
    await Promise.all(servers.map((server) => server.start()));
    const { routes } = ledgerConfiguration(10);
    const configuration = ledgerConfiguration(10, { routes: routes.map((route) => ({ ...route, timeout_ms: TIMEOUT_MS })) });
    await waitFor("the first acknowledgement", () => operator.replace(configuration));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));

    const agent = new Agent({ keepAlive: true, maxSockets: 60 });
    const traffic = startTraffic(system, record, REQUESTS_PER_S, (count) =>
        Math.floor(count / 2) % 3 === 0
            ? { method: "POST", path: `/pay/${count}`, body: `amount ${count}`, agent, timeoutMs: TIMEOUT_MS }
            : { method: "GET", path: `/read/${count}`, agent, timeoutMs: TIMEOUT_MS });
    await waitFor("requests at both servers", () => servers.every(({ arrivals }) => arrivals.length > 20));
    await sleep(2 * BOUNDS.contact_ms);

    let answerCount = 0;
    let spoiltCount = 0;
    let burstCount = 0;
    const startedAt = now();
    const isFaulty = () =>
        SPOIL_STARTS_MS.some((start) => now() - startedAt >= start && now() - startedAt < start + SPOIL_MS);
    const spoils = () => {
        if (!hasTrouble || !isFaulty()) {
            return false;
        }
        answerCount += 1;
        // Faults come in bursts; at no time is the share of spoilt answers above the limit.
        if (burstCount === 0 && answerCount * SPOILT_SHARE >= spoiltCount + BURST) {
            burstCount = BURST;
        }
        const isSpoilt = burstCount > 0;
        burstCount -= Number(isSpoilt);
        spoiltCount += Number(isSpoilt);
        return isSpoilt;
    };
    faulty.forEach((server) => {
        server.spoils = spoils;
    });
    await sleep(SPOIL_STARTS_MS.at(-1) + SPOIL_MS + CALM_MS);
    traffic.stop();
    await sleep(TIMEOUT_MS + 1_000);

    const ownEnds = system.entries.map(({ starts }) => starts - 1);
    const runAtSound = new Set(sound.flatMap(({ arrivals }) => arrivals.map(({ id }) => id)));
    const cut = traffic.results.filter(({ id, isKept, status, error }) =>
        isKept && status === undefined && error !== "no answer in time" && runAtSound.has(id)
    );
    const unsafe = cut.filter(({ method }) => method === "POST");
    const cutByEntry = system.entries.map((entry) => cut.filter((result) => result.entry === entry).length);
    record.write("counted", {
        answersOfFaultyServers: answerCount,
        spoilt: spoiltCount,
        processesEndedByThemselves: ownEnds.join("+"),
        closedWithoutAnswer: cutByEntry.join("+"),
        unsafe: unsafe.length,
    });
    for (const { log, name } of system.entries) {
        log.filter((line) => line.includes("FATAL")).forEach((line) => record.write("log", { machine: name, line: JSON.stringify(line) }));
    }
    return Math.max(...cutByEntry) <= 3 ? [] : [
        `LOST: ${cutByEntry.join(" and ")} requests (by entry daemon) of kept connections (${unsafe.length} unsafe) were passed on to sound servers and closed without an answer, as their processes ended by themselves ${ownEnds.join(" and ")} times`,
    ];
});
