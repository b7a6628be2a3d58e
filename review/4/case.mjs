// Two orders are left unanswered and carried out late, after the group they are for has ended.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Operator, startTraffic, waitFor, waitReady } from "../lib/callers.mjs";
import { chatRequest, Engine, Fleet, modelConfiguration } from "../lib/engines.mjs";
import { hasTrouble, now, runCase, sleep } from "../lib/system.mjs";

const MODELS = [{ name: "m0", size: 2, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }];
/** Times at which the late orders are carried out, after the first of them arrived; 2 to 12 s after each arrived. */
const JOIN_AT_MS = 9_500;
const OPEN_AT_MS = 11_500;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, record) => {
    await system.start({ controlZones: ["jhb-north", "jhb-east", "pta-central"], entryZones: ["jhb-north", "jhb-east"] });
    const operator = new Operator(system, record);
    await waitFor("the first acknowledgement", () => operator.replace(modelConfiguration(10, MODELS)));
    const fleet = new Fleet(system, record, { modelSizes: { m0: 2 } });
    const create = (number, domain) =>
        new Engine(fleet, { id: `i-${number}`, domain, zone: "jhb-north", host: `${system.network}.${100 + number}` });
    // Two groups in two domains, without spares. The first order of each kind to the head of the first one is late.
    const first = [create(1, "d0"), create(2, "d0")];
    const second = [create(3, "d1"), create(4, "d1")];
    let orderCount = 0;
    let lateCount = 0;
    let firstJoinAt;
    const delayed = new Set();
    for (const engine of [...first, ...second]) {
        engine.lateMsOf = ({ operation, members }) => {
            orderCount += 1;
            if (operation === "join" && engine.domain === "d0") {
                fleet.headId ??= members[0];
            }
            const isDue = hasTrouble && engine.id === fleet.headId && ["join", "open"].includes(operation) && !delayed.has(operation);
            if (!isDue) {
                return 0;
            }
            delayed.add(operation);
            lateCount += 1;
            firstJoinAt ??= now();
            return Math.round(firstJoinAt + (operation === "join" ? JOIN_AT_MS : OPEN_AT_MS) - now());
        };
    }
    await Promise.all([...first, ...second].map((engine) => engine.start()));
    await Promise.all(system.entries.map((entry) => waitReady(entry)));
    const isOpen = (engines) => engines.some(({ group }) => group?.state === "open");
    await waitFor("two open groups", () => isOpen(first) && isOpen(second), 15_000);
    firstJoinAt ??= now();
    const traffic = startTraffic(system, record, 20, () => chatRequest("m0"));
    await sleep(Math.max(0, firstJoinAt + 4_500 - now()));

    // One engine, not the head, is lost for good.
    const lost = first.find(({ id }) => id !== fleet.headId);
    const head = first.find(({ id }) => id === fleet.headId);
    lost.exit("lost for good");
    await waitFor("the head leaves its group", () => head.group === undefined, 5_000).catch(() => undefined);
    record.write("after the loss", { head: head.id, state: JSON.stringify(head.description) });
    await sleep(Math.max(0, firstJoinAt + OPEN_AT_MS + 1_500 - now()));
    record.write("after the late orders", { head: head.id, state: JSON.stringify(head.description) });
    // Then an empty engine is added to the domain.
    const added = create(5, "d0");
    added.lateMsOf = () => (orderCount += 1, 0);
    await added.start();
    await sleep(9_000);
    traffic.stop();
    await sleep(2_000);
    record.write("counted", { orders: orderCount, late: lateCount });
    return fleet.broken;
});
