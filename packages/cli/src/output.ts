type Cell = string | number | boolean | undefined;

/** Prints rows as aligned columns with headings. */
export const printTable = (headings: readonly string[], rows: readonly Cell[][]): void => {
    const texts = rows.map((row) => row.map((cell) => cell === undefined ? "-" : String(cell)));
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...texts.map((row) => row[column]?.length ?? 0))
    );
    for (const row of [headings, ...texts]) {
        console.log(row.map((text, column) => text.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
    }
};

/** Prints one name and value per line. Undefined values are omitted. */
export const printFields = (fields: Record<string, Cell>): void => {
    const shown = Object.entries(fields).filter(([, value]) => value !== undefined);
    const width = Math.max(...shown.map(([name]) => name.length));
    for (const [name, value] of shown) {
        console.log(`${name.padEnd(width)}  ${value}`);
    }
};

export const printJson = (value: unknown): void => console.log(JSON.stringify(value, undefined, 2));

/** Prints a message to standard error, which keeps standard output for the result of the command. */
export const printNotice = (message: string): void => console.error(message);

/** Progress on standard error: one updated line on a terminal, otherwise one line for each new text. */
export class Progress {
    readonly #isTerminal = process.stderr.isTTY === true;
    #lastText = "";

    show(text: string): void {
        if (text === this.#lastText) {
            return;
        }
        this.#lastText = text;
        process.stderr.write(this.#isTerminal ? `\r\u001B[K${text}` : `${text}\n`);
    }

    end(): void {
        if (this.#isTerminal && this.#lastText !== "") {
            process.stderr.write("\n");
        }
    }
}

export const printHazards = (hazards: readonly { hazard: string; detail: string; }[]): void => {
    for (const { hazard, detail } of hazards) {
        console.log(`unsafe (${hazard}): ${detail}`);
    }
};
