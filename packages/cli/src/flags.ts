import type { ArgDef, ArgsDef } from "citty";
import { usageError } from "./exit.ts";

/** `valueHint` of a positional argument that accepts any number of values. */
export const VARIADIC_HINT = "...";

const toKebab = (name: string): string => name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

const takesValue = (definition: ArgDef): boolean =>
    definition.type === "string" || definition.type === "enum";

const findFlag = (definitions: ArgsDef, name: string): ArgDef | undefined => {
    const entries = Object.entries(definitions).filter(([, definition]) => definition.type !== "positional");
    return entries.find(([known]) => known === name || toKebab(known) === name)?.[1];
};

const requireFlag = (definitions: ArgsDef, name: string): ArgDef => {
    const found = findFlag(definitions, name) ?? findFlag(definitions, name.replace(/^no-/, ""));
    if (found === undefined) {
        throw usageError(`unknown flag --${name}`);
    }
    return found;
};

/** Throws a usage error for unknown flags, flags without a required value, and extra positional arguments. */
export const checkArguments = (definitions: ArgsDef, rawArgs: readonly string[]): void => {
    const positionals: string[] = [];
    for (let index = 0; index < rawArgs.length; index += 1) {
        const argument = rawArgs[index] ?? "";
        if (argument === "--") {
            positionals.push(...rawArgs.slice(index + 1));
            break;
        }
        if (!argument.startsWith("-") || argument === "-") {
            positionals.push(argument);
            continue;
        }
        if (!argument.startsWith("--")) {
            throw usageError(`unknown flag ${argument}`);
        }
        const [name = "", value] = argument.slice(2).split("=", 2);
        if (!takesValue(requireFlag(definitions, name)) || value !== undefined) {
            continue;
        }
        index += 1;
        if (rawArgs[index] === undefined || rawArgs[index]?.startsWith("--")) {
            throw usageError(`flag --${name} requires a value`);
        }
    }
    checkPositionalCount(definitions, positionals);
};

const checkPositionalCount = (definitions: ArgsDef, positionals: string[]): void => {
    const defined = Object.values(definitions).filter((definition) => definition.type === "positional");
    const takesMany = defined.some((definition) => definition.valueHint === VARIADIC_HINT);
    const extra = positionals[defined.length];
    if (extra !== undefined && !takesMany) {
        throw usageError(`unexpected argument "${extra}"`);
    }
};
