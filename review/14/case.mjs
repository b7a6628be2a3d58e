import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Ledger } from "../lib-3/ledger.mjs";
import {
    BOUNDS, call, clientHeaders, hasTrouble, plainConfiguration, replaceConfiguration, requestId, route, runCase, sleep, System, waitFor,
} from "../lib-3/system.mjs";

const TIMEOUT_MS = 600;
const FRONTS = 2;
/** Requests a second at each front machine. */
const RATE = 40;
const TROUBLE_S = 6;
/** Largest doses of `garble`: 60 in 100 engines spoil 3 in 100 of their answers. */
const SPOILED_ENGINES = 1;
const SPOILED_SHARE = 0.03;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
    const system = await System.create(record, { cores: 3, fronts: FRONTS });
    onEnd(() => system.stop());
    const controls = () => system.cores.map((core) => system.control(core));
    let isSpoiling = false;
    let answers = 0;
    let spoiled = 0;
    const ledgers = [];
    for (let index = 0; index < 3; index += 1) {
        const ledger = await new Ledger({ controls, record }).start();
        onEnd(() => ledger.stop());
        ledgers.push(ledger);
        if (index < SPOILED_ENGINES) {
            ledger.answer = async (request, response, echo) => {
                answers += 1;
                if (!isSpoiling || answers % Math.ceil(1 / SPOILED_SHARE) !== 0) {
                    return false;
                }
                spoiled += 1;
                const id = echo["greengageridge-request-id"];
                record.add(`${ledger.id} spoils its answer to ${id}`);
                // Bytes that are no response: there is no status 099.
                request.socket.end(`HTTP/1.1 099 X\r\ngreengageridge-request-id: ${id}\r\ncontent-length: 4\r\n\r\ndone`);
                return true;
            };
        }
    }
    system.startAll();
    const configuration = plainConfiguration(1, { routes: [] });
    configuration.routes = [route("read", "/read/", "safe", "ledger", { attempts: 2, timeout_ms: TIMEOUT_MS })];
    if (!(await replaceConfiguration(system, configuration, { limitMs: 30_000 })).isAcknowledged) {
        throw new Error("the configuration was not acknowledged");
    }
    const send = async (front) => {
        const id = requestId();
        const sentAt = performance.now();
        const result = await call(system.front(front), { path: `/read/${id}`, headers: clientHeaders(id), timeoutMs: 8000 });
        return { id, front, ms: performance.now() - sentAt, result };
    };
    for (const front of system.fronts) {
        await waitFor("the first answer", async () => (await send(front)).result.status === 200);
    }
    // Calm for longer than contact_ms, so that all machines are in touch.
    const results = [];
    const pending = [];
    const traffic = async (seconds) => {
        const startMs = performance.now();
        for (let n = 0; n < seconds * RATE; n += 1) {
            await sleep(Math.max(0, startMs + (1000 * n) / RATE - performance.now()));
            system.fronts.forEach((front) => pending.push(send(front).then((result) => results.push(result))));
        }
    };
    await traffic(BOUNDS.contact_ms / 1000 + 1);
    isSpoiling = hasTrouble;
    record.add(hasTrouble ? "one of three engines spoils 3 in 100 of its answers" : "no disruption");
    await traffic(TROUBLE_S);
    isSpoiling = false;
    await Promise.all(pending);
    const late = results.filter(({ ms }) => ms > TIMEOUT_MS);
    const unanswered = late.filter(({ ms }) => ms > TIMEOUT_MS + 500);
    const statuses = new Map();
    results.forEach(({ result }) => statuses.set(result.status ?? result.error, (statuses.get(result.status ?? result.error) ?? 0) + 1));
    record.add(`sent ${results.length}, answers ${JSON.stringify([...statuses])}, run ${ledgers.map(({ runs }) => runs.length).join(" + ")}, spoiled ${spoiled}`);
    for (const front of system.fronts) {
        const own = unanswered.filter((entry) => entry.front === front);
        record.add(`${front.name}: ${own.length} requests without an answer ${TIMEOUT_MS + 500} ms after they were sent, the longest ${Math.round(Math.max(0, ...own.map(({ ms }) => ms)))} ms`);
    }
    record.add(`${late.length} requests lasted longer than their route's timeout_ms of ${TIMEOUT_MS}; ${unanswered.length} of them had no answer 0.5 s after it`);
    return unanswered.length >= 8 && unanswered.length * 4 > late.length;
});
