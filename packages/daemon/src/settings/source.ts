import {
    findNodeAtLocation,
    type Node,
    type ParseError,
    type ParseOptions,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { SettingsError } from "./error.ts";

export type KeyPath = (string | number)[];

const PARSE_OPTIONS: ParseOptions = { allowTrailingComma: true, disallowComments: false };
const MAX_EXCERPT_LENGTH = 60;
const SECRET_PATH = /^keys\./;

/** Text of a settings file that maps keys to line numbers for error messages. */
export class SettingsSource {
    readonly path: string;
    readonly #text: string;
    readonly #root: Node | undefined;

    /** Throws SettingsError when the text is not valid JSON with comments. */
    constructor(path: string, text: string) {
        this.path = path;
        this.#text = text;
        const errors: ParseError[] = [];
        this.#root = parseTree(text, errors, PARSE_OPTIONS);
        if (errors.length > 0) {
            throw new SettingsError(
                errors.map((error) =>
                    `${path}:${this.#lineAt(error.offset)}: not valid JSON: ${
                        printParseErrorCode(error.error)
                    }`
                ),
            );
        }
    }

    /** Line of a key, or of its closest ancestor that is in the file. */
    lineOf(keyPath: KeyPath): number {
        for (let length = keyPath.length; length > 0; length -= 1) {
            const node = this.#find(keyPath.slice(0, length));
            if (node !== undefined) {
                return this.#lineAt((node.parent?.type === "property" ? node.parent : node).offset);
            }
        }
        return this.#lineAt(this.#root?.offset ?? 0);
    }

    /** Truncated source text of a value, for error messages. Secrets are not shown. */
    excerptOf(keyPath: KeyPath): string {
        const node = this.#find(keyPath);
        if (node === undefined) {
            return "nothing";
        }
        const text = this.#text.slice(node.offset, node.offset + node.length).replace(/\s+/g, " ");
        if (SECRET_PATH.test(formatKeyPath(keyPath))) {
            return `a ${node.type} of ${text.length - 2} characters`;
        }
        return text.length > MAX_EXCERPT_LENGTH ? `${text.slice(0, MAX_EXCERPT_LENGTH)}...` : text;
    }

    /** Formats an error line with the file, line, key, value found and values allowed. */
    describe(keyPath: KeyPath, found: string, allowed: string): string {
        const name = formatKeyPath(keyPath) || "(top level)";
        return `${this.path}:${this.lineOf(keyPath)}: ${name}: found ${found}; allowed: ${allowed}`;
    }

    #find(keyPath: KeyPath): Node | undefined {
        return this.#root === undefined ? undefined : findNodeAtLocation(this.#root, keyPath);
    }

    #lineAt(offset: number): number {
        return this.#text.slice(0, offset).split("\n").length;
    }
}

const formatKeyPath = (keyPath: KeyPath): string => keyPath.join(".");
