/** Thrown for an invalid settings file. Each problem names the file, line, key, value found and values allowed. */
export class SettingsError extends Error {
    readonly problems: readonly string[];

    constructor(problems: readonly string[]) {
        super(problems.join("\n"));
        this.name = "SettingsError";
        this.problems = problems;
    }
}
