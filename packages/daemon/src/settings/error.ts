/** The settings file can't be used. Each problem names file, line, key, what was found and what is allowed. */
export class SettingsError extends Error {
    readonly problems: readonly string[];

    constructor(problems: readonly string[]) {
        super(problems.join("\n"));
        this.name = "SettingsError";
        this.problems = problems;
    }
}
