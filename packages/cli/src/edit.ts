import type { EditResponse, Hazard } from "@greengage/http";
import type { EditOutcome } from "@greengage/table";
import { type ClientArgs, OperatorClient } from "./client.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { printHazards, printJson, printNotice } from "./output.ts";
import { pollWithProgress } from "./poll.ts";

/** Maximum wait until an edit is in effect in all zones. */
const EDIT_WAIT_LIMIT_S = 10;

interface DryRunResponse {
    dryRun: true;
    outcome: EditOutcome;
    hazards: Hazard[];
}

interface EditOptions {
    path: "table" | "table/import";
    body: { editId: string; dryRun: boolean; };
    json: boolean;
    wait: boolean;
    /** Whether the operator passed the edit id, so that an earlier attempt may have been accepted. */
    isResend: boolean;
}

/** Titles of problems that decide the outcome of an edit id, including its earlier attempts. */
const DECISIVE_TITLES = ["invalid", "bad-request"];

/** Converts the error of a resend without effect: the outcome of earlier attempts with its id is still unknown. */
const toResendError = (error: unknown): unknown => {
    const isUndecided = error instanceof CommandError && error.exitCode === ExitCode.Failed
        && !DECISIVE_TITLES.includes(error.title ?? "");
    if (!isUndecided) {
        return error;
    }
    const message = `${error.message}. An earlier attempt with this id may have been accepted: send it again`;
    return new CommandError(message, ExitCode.OutcomeUnknown);
};

/** Prints the id of an edit, sends it, and waits until it is in effect in every zone. */
export const sendEdit = async (args: ClientArgs, options: EditOptions): Promise<ExitCode> => {
    const client = new OperatorClient(args);
    if (options.body.dryRun) {
        const plan = await client.post<DryRunResponse>(options.path, options.body);
        return printDryRun(plan, options.json);
    }
    const { editId } = options.body;
    printNotice(`edit id: ${editId}`);
    const response = await client.post<EditResponse>(options.path, options.body).catch((error: unknown) => {
        throw options.isResend ? toResendError(error) : error;
    });
    const pendingZones = options.wait
        ? await waitForZones(client, response)
        : response.pendingZones;
    if (options.json) {
        printJson({ editId, ...response, pendingZones });
        return ExitCode.Success;
    }
    const version = response.outcome.status === "accepted" ? response.outcome.tableVersion : undefined;
    console.log(`accepted as table version ${version}`);
    console.log(
        pendingZones.length === 0
            ? "in effect in all zones"
            : `not yet in effect in ${pendingZones.join(", ")}; these zones will catch up on their own`,
    );
    return ExitCode.Success;
};

const printDryRun = (plan: DryRunResponse, json: boolean): ExitCode => {
    if (json) {
        printJson(plan);
        return ExitCode.Success;
    }
    console.log(`would be ${plan.outcome.status}`);
    if (plan.outcome.status !== "accepted") {
        printJson(plan.outcome);
    }
    printHazards(plan.hazards);
    return ExitCode.Success;
};

interface DaemonsResponse {
    daemons: { daemonId: string; zone: string; tableVersion: number; }[];
    unreachable: string[];
}

const waitForZones = async (client: OperatorClient, response: EditResponse): Promise<string[]> => {
    if (response.outcome.status !== "accepted" || response.pendingZones.length === 0) {
        return response.pendingZones;
    }
    const { tableVersion } = response.outcome;
    let pendingZones = response.pendingZones;
    await pollWithProgress({
        limitS: EDIT_WAIT_LIMIT_S,
        probe: async () => {
            const { daemons, unreachable } = await client.get<DaemonsResponse>("daemons");
            const outdated = daemons.filter((daemon) => daemon.tableVersion < tableVersion);
            if (outdated.length === 0 && unreachable.length === 0) {
                pendingZones = [];
                return undefined;
            }
            const names = [...outdated.map(({ daemonId }) => daemonId), ...unreachable];
            return `waiting for ${names.join(", ")}`;
        },
    });
    return pendingZones;
};

/** Throws a CommandError when a wait ended before its condition was met. */
export const requireDone = (isDone: boolean, message: string): void => {
    if (!isDone) {
        throw new CommandError(message, ExitCode.Failed);
    }
};
