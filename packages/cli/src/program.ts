import { messageOf } from "@greengage/base";
import { type ArgsDef, type CommandDef, renderUsage, runCommand } from "citty";
import { stripVTControlCharacters } from "node:util";
import { CommandError, ExitCode, usageError } from "./exit.ts";
import { checkArguments } from "./flags.ts";

/** Command with any arguments. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- citty types commands by their arguments.
type AnyCommand = CommandDef<any>;

interface ResolvedCommand {
    command: AnyCommand;
    /** Names of the parent commands, shown in the usage text. */
    parentName: string;
    rawArgs: string[];
}

const HELP_FLAGS = ["--help", "-h"];

const subCommandsOf = (command: AnyCommand): Record<string, AnyCommand> =>
    (command.subCommands ?? {}) as Record<string, AnyCommand>;

const nameOf = (command: AnyCommand): string => (command.meta as { name?: string; } | undefined)?.name ?? "";

/** Resolves nested subcommands. Stops at the first argument that is not a subcommand. */
const resolveCommand = (root: AnyCommand, rawArgs: string[]): ResolvedCommand => {
    let resolved: ResolvedCommand = { command: root, parentName: "", rawArgs };
    for (;;) {
        const [name = "", ...rest] = resolved.rawArgs;
        const subCommands = subCommandsOf(resolved.command);
        const next = Object.hasOwn(subCommands, name) ? subCommands[name] : undefined;
        if (next === undefined) {
            return resolved;
        }
        const parentName = `${resolved.parentName} ${nameOf(resolved.command)}`.trim();
        resolved = { command: next, parentName, rawArgs: rest };
    }
};

const renderUsageText = async ({ command, parentName }: ResolvedCommand): Promise<string> => {
    const parent = parentName === "" ? undefined : { meta: { name: parentName } };
    const usage = await renderUsage(command, parent);
    return process.stdout.isTTY ? usage : stripVTControlCharacters(usage);
};

const requireRunnable = ({ command, rawArgs }: ResolvedCommand): void => {
    const names = Object.keys(subCommandsOf(command));
    if (names.length === 0) {
        return;
    }
    const found = rawArgs[0] === undefined ? "no command" : `unknown command "${rawArgs[0]}"`;
    throw usageError(`${found}; commands of ${nameOf(command)}: ${names.join(", ")}`);
};

/** Runs the command given by the arguments and returns the exit code. */
export const runProgram = async (root: AnyCommand, rawArgs: string[]): Promise<ExitCode> => {
    const resolved = resolveCommand(root, rawArgs);
    if (resolved.rawArgs.some((argument) => HELP_FLAGS.includes(argument))) {
        console.log(await renderUsageText(resolved));
        return ExitCode.Success;
    }
    try {
        requireRunnable(resolved);
        checkArguments((resolved.command.args ?? {}) as ArgsDef, resolved.rawArgs);
        const { result } = await runCommand(resolved.command, { rawArgs: resolved.rawArgs });
        return (result as ExitCode | undefined) ?? ExitCode.Success;
    }
    catch (error) {
        return await reportError(error, resolved);
    }
};

const exitCodeFor = (error: unknown): ExitCode => {
    if (error instanceof CommandError) {
        return error.exitCode;
    }
    // citty throws an error class that it does not export for missing and invalid arguments.
    return error instanceof Error && error.name === "CLIError" ? ExitCode.Usage : ExitCode.Failed;
};

const reportError = async (error: unknown, resolved: ResolvedCommand): Promise<ExitCode> => {
    const exitCode = exitCodeFor(error);
    console.error(`greengage: ${stripVTControlCharacters(messageOf(error))}`);
    if (exitCode === ExitCode.Usage) {
        const command = `${resolved.parentName} ${nameOf(resolved.command)}`.trim();
        console.error(`Run \`${command} --help\` for the arguments.`);
    }
    return exitCode;
};
