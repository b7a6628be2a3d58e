/** Exit codes of `greengage`, documented in docs/operators/errors.md. */
export const ExitCode = {
    Done: 0,
    Failed: 1,
    Usage: 2,
    /** Conflict with another edit, or refused as unsafe. Nothing was done. */
    Refused: 3,
    /** The outcome is unknown. Send the same command again with the same edit id. */
    Unknown: 4,
} as const;

export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Ends a command with a message and an exit code. */
export class CommandError extends Error {
    readonly exitCode: ExitCode;
    /** Title of the problem that a daemon answered with. */
    readonly title: string | undefined;

    constructor(message: string, exitCode: ExitCode, title?: string) {
        super(message);
        this.name = "CommandError";
        this.exitCode = exitCode;
        this.title = title;
    }
}

export const usageError = (message: string): CommandError => new CommandError(message, ExitCode.Usage);
