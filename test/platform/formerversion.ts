import { execFileSync } from "node:child_process";
import { mkdirSync, mkdtempSync, readdirSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

/** Commits of former versions. */
export const FormerVersion = {
    /** Without replicated departures, votes that are handed over, and epochs from the term alone. */
    BeforeDepartures: "4b430ba",
    /** Without records of the orders that got no answer. */
    BeforeUnansweredOrders: "0bdf4a9",
} as const;

export type FormerVersion = typeof FormerVersion[keyof typeof FormerVersion];

const MODULES = "node_modules";
const OWN_SCOPE = "@greengage";

/** Extracts a former version from the history into a new folder, with the installed libraries. Returns the folder. */
export const extractFormerVersion = (commit: FormerVersion): string => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-former-"));
    const archive = join(folder, "former.tar");
    execFileSync("git", ["archive", "--format=tar", "-o", archive, commit, "packages", "platform"]);
    execFileSync("tar", ["-xf", archive, "-C", folder]);
    const modules = join(folder, MODULES);
    mkdirSync(join(modules, OWN_SCOPE), { recursive: true });
    for (const name of readdirSync(MODULES).filter((entry) => entry !== OWN_SCOPE)) {
        symlinkSync(resolve(MODULES, name), join(modules, name));
    }
    for (const name of readdirSync(join(folder, "packages"))) {
        symlinkSync(join(folder, "packages", name), join(modules, OWN_SCOPE, name));
    }
    return folder;
};
