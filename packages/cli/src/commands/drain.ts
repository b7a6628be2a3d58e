import type { DaemonSummary, Hazard } from "@greengage/http";
import type { DrainPlan } from "@greengage/protocol";
import { type ArgsDef, type CommandDef, defineCommand } from "citty";
import {
    connectionArgs,
    jsonArg,
    numberOf,
    operatorArg,
    operatorOf,
    safetyArgs,
    safetyOf,
    waitArg,
} from "../args.ts";
import { OperatorClient } from "../client.ts";
import { requireEnd } from "../edit.ts";
import { printHazards, printJson } from "../output.ts";
import { waitWithProgress } from "../wait.ts";

const DEFAULT_WAIT_S = 300;

type Target = "vm" | "daemon";

interface DrainAnswer {
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

/** What a drain still waits for, by target. `undefined` when it is complete. */
const missingOf: Record<Target, (client: OperatorClient, body: DrainBody) => Promise<string | undefined>> = {
    vm: async (client, body) => {
        const { vm } = await client.post<DrainAnswer>("drain", { ...body, dryRun: true });
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

const showPlan = (answer: DrainAnswer, id: string): void => {
    console.log(`would drain ${id}`);
    if (answer.vm !== undefined) {
        const { groupId, model, summary } = answer.vm;
        console.log(groupId === undefined ? summary : `group ${groupId} of model ${model}: ${summary}`);
    }
    printHazards(answer.hazards);
};

const idArg = (target: Target) =>
    ({
        type: "positional",
        description: `Id of the ${target === "vm" ? "VM" : "daemon"}`,
        required: true,
    }) as const;

const drainOf = (target: Target) =>
    defineCommand({
        meta: {
            name: target,
            description: `Take a ${
                target === "vm" ? "VM" : "daemon"
            } out of service, no request is interrupted`,
        },
        args: {
            id: idArg(target),
            wait: {
                type: "boolean",
                description: "Wait until it is drained",
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
            const safety = safetyOf(args);
            const body = { target, id: args.id, operator: operatorOf(args) };
            const limitS = numberOf("wait-s", args["wait-s"]);
            const answer = await client.post<DrainAnswer>("drain", { ...body, ...safety });
            if (!safety.dryRun && args.wait) {
                const isDone = await waitWithProgress({
                    limitS,
                    probe: () => missingOf[target](client, body),
                });
                requireEnd(isDone, `${args.id} is still draining after ${limitS} s; run the command again`);
            }
            if (args.json) {
                printJson(answer);
                return;
            }
            if (safety.dryRun) {
                showPlan(answer, args.id);
                return;
            }
            console.log(args.wait ? `${args.id} is drained` : `${args.id} drains`);
        },
    });

const undrainOf = (target: Target) =>
    defineCommand({
        meta: {
            name: target,
            description: `Take a ${target === "vm" ? "VM" : "daemon"} back into service`,
        },
        args: { id: idArg(target), ...operatorArg, ...connectionArgs, ...jsonArg },
        run: async ({ args }) => {
            const body = { target, id: args.id, operator: operatorOf(args) };
            const answer = await new OperatorClient(args).post<object>("undrain", body);
            if (args.json) {
                printJson(answer);
                return;
            }
            console.log(`${args.id} is back in service`);
        },
    });

const groupOf = (
    name: string,
    description: string,
    commandOf: (target: Target) => CommandDef<ArgsDef>,
): CommandDef =>
    defineCommand({
        meta: { name, description },
        subCommands: { vm: commandOf("vm"), daemon: commandOf("daemon") },
    });

export const drainCommand = groupOf(
    "drain",
    "Take a VM or a daemon out of service",
    (target) => drainOf(target) as CommandDef<ArgsDef>,
);

export const undrainCommand = groupOf(
    "undrain",
    "Take a VM or a daemon back into service",
    (target) => undrainOf(target) as CommandDef<ArgsDef>,
);
