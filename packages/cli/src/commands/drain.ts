import type { DaemonSummary, Hazard } from "@greengage/http";
import type { DrainPlan } from "@greengage/protocol";
import { type ArgsDef, type CommandDef, defineCommand } from "citty";
import {
    connectionArgs,
    jsonArg,
    operatorArg,
    parseSafety,
    parseWholeNumber,
    resolveOperator,
    safetyArgs,
    waitArg,
} from "../args.ts";
import { OperatorClient } from "../client.ts";
import { requireDone } from "../edit.ts";
import { printHazards, printJson } from "../output.ts";
import { pollWithProgress } from "../poll.ts";

const DEFAULT_WAIT_S = 300;

type Target = "vm" | "daemon";

interface DrainResponse {
    dryRun?: boolean;
    vm?: DrainPlan;
    daemon?: DaemonSummary;
    hazards: Hazard[];
}

interface DrainBody {
    target: Target;
    id: string;
    operator: string;
}

/** Describes what a drain is waiting for, by target. Returns `undefined` when it is complete. */
const progressByTarget: Record<
    Target,
    (client: OperatorClient, body: DrainBody) => Promise<string | undefined>
> = {
    vm: async (client, body) => {
        const { vm } = await client.post<DrainResponse>("drain", { ...body, dryRun: true });
        const isDone = vm?.groupId === undefined && vm?.inFlight === 0;
        return isDone
            ? undefined
            : `VM ${body.id} is in group ${vm?.groupId}, ${vm?.inFlight} requests in flight`;
    },
    daemon: async (client, { id }) => {
        const { daemons } = await client.get<{ daemons: DaemonSummary[]; }>("daemons");
        const daemon = daemons.find((candidate) => candidate.daemonId === id);
        return daemon?.state === "drained"
            ? undefined
            : `daemon ${id} is ${daemon?.state ?? "unreachable"}, ${
                daemon?.inFlight ?? "?"
            } requests in flight`;
    },
};

const printDryRun = (response: DrainResponse, id: string): void => {
    console.log(`would drain ${id}`);
    if (response.vm !== undefined) {
        const { groupId, model, summary } = response.vm;
        console.log(groupId === undefined ? summary : `group ${groupId} of model ${model}: ${summary}`);
    }
    printHazards(response.hazards);
};

const createIdArg = (target: Target) =>
    ({
        type: "positional",
        description: `Id of the ${target === "vm" ? "VM" : "daemon"}`,
        required: true,
    }) as const;

const createDrainCommand = (target: Target) =>
    defineCommand({
        meta: {
            name: target,
            description: `Take a ${
                target === "vm" ? "VM" : "daemon"
            } out of service without interrupting requests`,
        },
        args: {
            id: createIdArg(target),
            wait: {
                type: "boolean",
                description: "Wait until the drain is complete",
                negativeDescription: "Don't wait",
                default: true,
            },
            ...waitArg(DEFAULT_WAIT_S),
            ...operatorArg,
            ...safetyArgs,
            ...connectionArgs,
            ...jsonArg,
        },
        run: async ({ args }) => {
            const client = new OperatorClient(args);
            const safety = parseSafety(args);
            const body = { target, id: args.id, operator: resolveOperator(args) };
            const limitS = parseWholeNumber("wait-s", args["wait-s"]);
            const response = await client.post<DrainResponse>("drain", { ...body, ...safety });
            if (!safety.dryRun && args.wait) {
                const isDone = await pollWithProgress({
                    limitS,
                    probe: () => progressByTarget[target](client, body),
                });
                requireDone(isDone, `${args.id} is still draining after ${limitS} s; run the command again`);
            }
            if (args.json) {
                printJson(response);
                return;
            }
            if (safety.dryRun) {
                printDryRun(response, args.id);
                return;
            }
            console.log(args.wait ? `${args.id} is drained` : `${args.id} is draining`);
        },
    });

const createUndrainCommand = (target: Target) =>
    defineCommand({
        meta: {
            name: target,
            description: `Return a ${target === "vm" ? "VM" : "daemon"} to service`,
        },
        args: { id: createIdArg(target), ...operatorArg, ...connectionArgs, ...jsonArg },
        run: async ({ args }) => {
            const body = { target, id: args.id, operator: resolveOperator(args) };
            const response = await new OperatorClient(args).post<object>("undrain", body);
            if (args.json) {
                printJson(response);
                return;
            }
            console.log(`${args.id} is back in service`);
        },
    });

const createCommandGroup = (
    name: string,
    description: string,
    createCommand: (target: Target) => CommandDef<ArgsDef>,
): CommandDef =>
    defineCommand({
        meta: { name, description },
        subCommands: { vm: createCommand("vm"), daemon: createCommand("daemon") },
    });

export const drainCommand = createCommandGroup(
    "drain",
    "Take a VM or a daemon out of service",
    (target) => createDrainCommand(target) as CommandDef<ArgsDef>,
);

export const undrainCommand = createCommandGroup(
    "undrain",
    "Return a VM or a daemon to service",
    (target) => createUndrainCommand(target) as CommandDef<ArgsDef>,
);
