import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";

/** A configuration as the operator sent it. */
export interface StoredConfiguration {
    version: number;
    document: Uint8Array;
}

/** Command of the replicated log that offers a whole configuration. */
export interface ReplaceCommand extends Command, StoredConfiguration {
    type: "configuration.replace";
}

/** What became of an offered configuration. */
export interface ReplaceResult {
    /** False when a configuration with this version or a higher one was held already. */
    isChanged: boolean;
    /** Version in force after the command. */
    version: number;
}

/** Holds the configuration with the highest version. An equal or lower one changes nothing. */
export class ConfigurationRegister implements StateMachine {
    #held: StoredConfiguration | undefined;
    readonly #listeners = new Set<() => void>();

    get held(): StoredConfiguration | undefined {
        return this.#held;
    }

    get version(): number {
        return this.#held?.version ?? 0;
    }

    /** Calls `listener` after each change. */
    onChange(listener: () => void): void {
        this.#listeners.add(listener);
    }

    apply(_: number, command: Command): ReplaceResult {
        const { version, document } = command as ReplaceCommand;
        const isChanged = version > this.version;
        if (isChanged) {
            this.#hold({ version, document });
        }
        return { isChanged, version: this.version };
    }

    snapshot(): Uint8Array {
        return encode(this.#held ?? {});
    }

    restore(snapshot: Uint8Array): void {
        const held = decode(snapshot) as Partial<StoredConfiguration>;
        if (held.version !== undefined && held.document !== undefined && held.version > this.version) {
            this.#hold({ version: held.version, document: held.document });
        }
    }

    #hold(configuration: StoredConfiguration): void {
        this.#held = configuration;
        for (const listener of this.#listeners) {
            listener();
        }
    }
}
