import { execFileSync } from "node:child_process";
import { mkdirSync, mkdtempSync, readdirSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

/** Last version without replicated departures, votes that are handed over, and epochs from the term alone. */
const FORMER_COMMIT = "4b430ba";
const MODULES = "node_modules";
const OWN_SCOPE = "@greengage";

/** Extracts the former version from the history into a new folder, with the installed libraries. Returns the folder. */
export const extractFormerVersion = (): string => {
    const folder = mkdtempSync(join(tmpdir(), "greengage-former-"));
    const archive = join(folder, "former.tar");
    execFileSync("git", ["archive", "--format=tar", "-o", archive, FORMER_COMMIT, "packages", "platform"]);
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
