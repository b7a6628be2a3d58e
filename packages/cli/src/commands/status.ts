import type { DaemonStatus } from "@greengage/daemon";
import type { ZoneStats } from "@greengage/membership";
import { defineCommand } from "citty";
import { connectionArgs, jsonArg } from "../args.ts";
import { OperatorClient } from "../client.ts";
import { printFields, printJson, printTable } from "../output.ts";

/** Formats the total of a measure and its causes, largest first. */
const formatDuration = (measure: ZoneStats["groupDowntime"] | undefined): string | undefined => {
    if (measure === undefined) {
        return undefined;
    }
    const causes = Object.entries(measure.byCauseS).sort(([, a], [, b]) => b - a)
        .map(([cause, value]) => `${cause} ${value.toFixed(1)} s`);
    return `${measure.totalS.toFixed(1)} s${causes.length > 0 ? ` (${causes.join(", ")})` : ""}`;
};

const statusFields = (status: DaemonStatus): Record<string, string | number | boolean | undefined> => ({
    daemon: status.daemonId,
    zone: status.zone,
    version:
        `${status.versions.greengage} (protocol ${status.versions.protocol}, Node.js ${status.versions.node})`,
    state: status.ready ? `${status.state}, ready` : `${status.state}, not ready: ${status.notReadyReason}`,
    roles: [
        status.voter ? "voter" : "learner",
        ...(status.controlOnly ? ["control-only"] : []),
        ...(status.isController ? ["controller of its zone"] : []),
    ].join(", "),
    leader: status.log.leaderId,
    "table version": status.tableVersion,
    "zones reachable": status.reachableZones.join(", "),
    "zones unreachable": status.unreachableZones.join(", ") || "none",
    "requests in flight": status.inFlight,
    "data folder": status.log.isDiskFull ? "disk full" : undefined,
    "invariants violated": status.violationCount,
    "group downtime": formatDuration(status.measures?.groupDowntime),
    "stranded accelerators": formatDuration(status.measures?.strandedAccelerators),
    process:
        `up ${status.process.uptimeS} s, ${status.process.rssMb} MB, ${status.process.cpuMs} ms of CPU time`,
});

export const statusCommand = defineCommand({
    meta: { name: "status", description: "Show the status of a daemon and the groups it knows" },
    args: {
        daemon: { type: "string", description: "Id of another daemon. Default: the daemon at --url" },
        ...connectionArgs,
        ...jsonArg,
    },
    run: async ({ args }) => {
        const query = args.daemon === undefined ? "" : `?daemon=${encodeURIComponent(args.daemon)}`;
        const status = await new OperatorClient(args).get<DaemonStatus>(`status${query}`);
        if (args.json) {
            printJson(status);
            return;
        }
        printFields(statusFields(status));
        console.log("");
        printTable(
            ["group", "model", "zone", "state", "VMs"],
            status.groups.map((group) => [
                group.groupId,
                group.model,
                group.zone,
                group.state,
                group.memberVmIds.join(" "),
            ]),
        );
    },
});
