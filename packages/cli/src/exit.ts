/** Exit codes of `greengage`, documented in docs/operators/errors.md. */
export const ExitCode = {
    Success: 0,
    Failed: 1,
    Usage: 2,
    /** Conflict with another edit, or rejected as unsafe. Nothing was changed. */
    Rejected: 3,
    /** The outcome is unknown. Run the command again with the same edit id. */
    OutcomeUnknown: 4,
} as const;

export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** Error that ends a command with a message and an exit code. */
export class CommandError extends Error {
    readonly exitCode: ExitCode;
    /** Title of the problem document, if the daemon responded with one. */
    readonly title: string | undefined;

    constructor(message: string, exitCode: ExitCode, title?: string) {
        super(message);
        this.name = "CommandError";
        this.exitCode = exitCode;
        this.title = title;
    }
}

export const usageError = (message: string): CommandError => new CommandError(message, ExitCode.Usage);
