import type { GroupView, ServiceView } from "@greengage/protocol";
import { defineCommand } from "citty";
import { connectionArgs, jsonArg } from "../args.ts";
import { OperatorClient } from "../client.ts";
import { printJson, printTable } from "../output.ts";

export const groupsCommand = defineCommand({
    meta: { name: "groups", description: "Show replica groups and backend servers of plain services" },
    args: { ...connectionArgs, ...jsonArg },
    run: async ({ args }) => {
        const response = await new OperatorClient(args)
            .get<{ groups: GroupView[]; services: ServiceView[]; }>("groups");
        if (args.json) {
            printJson(response);
            return;
        }
        printTable(
            ["group", "generation", "model", "zone", "domain", "state", "running", "capacity", "VMs"],
            response.groups.map((group) => [
                group.groupId,
                group.generation,
                group.model,
                group.zone,
                group.fabricDomain,
                group.state,
                group.load.runningRequests,
                group.maxConcurrent,
                group.memberVmIds.join(" "),
            ]),
        );
        console.log("");
        printTable(
            ["service", "VM", "zone", "available"],
            response.services.map(({ service, vmId, zone, available }) => [service, vmId, zone, available]),
        );
    },
});
