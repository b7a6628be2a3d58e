import { createContext, type DecisionFields } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { RoutingTable } from "@greengage/configuration";
import type { RaftLog } from "@greengage/consensus";
import { DepartureState, type GroupController, ServerRegistry } from "@greengage/fleet";
import type { ServerReport } from "@greengage/protocol";
import test from "ava";
import { ServerReportHandler } from "../../packages/fleet/src/reporthandler.ts";
import { buildConfiguration } from "../configuration/fixtures.ts";
import { reportOf } from "./fixtures.ts";

/** Reports that name no backend server to use. */
const oddReports: Record<string, unknown> = {
    nothing: undefined,
    "no field": {},
    "port 70000": reportOf("odd", { address: "127.0.0.1:70000" }),
    "a rank of -1": reportOf("odd", {
        membership: { groupName: "g", epoch: 1, rank: -1, state: "open" },
    }),
    "an epoch at the limit of safe integers": reportOf("odd", {
        membership: { groupName: "g", epoch: Number.MAX_SAFE_INTEGER, rank: 0, state: "open" },
    }),
    "a start time in the far future": reportOf("odd", { bornMs: 2 ** 47 }),
    "an unknown service at the address of a server": reportOf("odd", {
        service: "unknown",
        address: "e1:1",
        bornMs: 99,
    }),
    "an unknown service and the id of a server": reportOf("e1", { service: "unknown", bornMs: 99 }),
    "no list of models": { ...reportOf("odd"), loadedModels: undefined },
};

const routing = new RoutingTable(buildConfiguration({
    services: [{ name: reportOf("e1").service, maxConnections: 400 }],
}));

for (const [title, odd] of Object.entries(oddReports)) {
    // Guards against a forwarded report that hides the others of its message, or raises the epochs of all groups for good.
    test(`a report with ${title} is dropped and the others of its message are applied`, async (t) => {
        const hub = new Hub();
        const peers = hub.join({ daemonId: "core-1", zone: "z", host: "", port: 0 });
        const forwarder = hub.join({ daemonId: "core-2", zone: "z", host: "", port: 0 });
        const registry = new ServerRegistry(new DepartureState());
        const logged: DecisionFields[] = [];
        const decisions = {
            record: (event: string, fields: DecisionFields) => void logged.push({ event, ...fields }),
        };
        new ServerReportHandler({
            context: { ...createContext({ daemonId: "core-1", zone: "z" }), decisions },
            peers,
            log: { holdsLeaderLease: true, status: () => ({ leaderId: "core-1" }) } as unknown as RaftLog,
            registry,
            departures: new DepartureState(),
            routing: () => routing,
            controller: { isSettled: true, wake: () => undefined } as unknown as GroupController,
        });
        const reports = [reportOf("e1"), odd, reportOf("e2")] as ServerReport[];
        const { isAccepted } = await forwarder.call("core-1", "fleet.report", { reports });
        t.false(isAccepted);
        const { service } = reportOf("e1");
        t.deepEqual(
            registry.all().map(({ report }) => [report.serverId, report.service]),
            [["e1", service], ["e2", service]],
        );
        t.like(logged.find(({ event }) => event === "entry.invalid"), { source: "core-2", kind: "report" });
    });
}
