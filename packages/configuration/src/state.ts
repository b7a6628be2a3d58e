import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";

/** A configuration as the operator sent it. */
export interface StoredConfiguration {
    version: number;
    document: Uint8Array;
}

/** Command of the replicated log that offers a whole configuration. */
export interface ReplaceConfigurationCommand extends Command, StoredConfiguration {
    type: "configuration.replace";
}

/** What became of an offered configuration. */
export interface ReplaceConfigurationResult {
    /** False when a configuration with this version or a higher one was held already. */
    isChanged: boolean;
    /** Version in force after the command. */
    version: number;
}

/** Holds the configuration with the highest version. An equal or lower one changes nothing. */
export class ConfigurationState implements StateMachine {
    #latest: StoredConfiguration | undefined;
    readonly #listeners = new Set<() => void>();

    get latest(): StoredConfiguration | undefined {
        return this.#latest;
    }

    get version(): number {
        return this.#latest?.version ?? 0;
    }

    /** Calls `listener` after each change. */
    onChange(listener: () => void): void {
        this.#listeners.add(listener);
    }

    apply(_: number, command: Command): ReplaceConfigurationResult {
        const { version, document } = command as ReplaceConfigurationCommand;
        const isChanged = version > this.version;
        if (isChanged) {
            this.#setLatest({ version, document });
        }
        return { isChanged, version: this.version };
    }

    snapshot(): Uint8Array {
        return encode(this.#latest ?? {});
    }

    restore(snapshot: Uint8Array): void {
        const restored = decode(snapshot) as Partial<StoredConfiguration>;
        if (
            restored.version !== undefined && restored.document !== undefined
            && restored.version > this.version
        ) {
            this.#setLatest({ version: restored.version, document: restored.document });
        }
    }

    #setLatest(configuration: StoredConfiguration): void {
        this.#latest = configuration;
        for (const listener of this.#listeners) {
            listener();
        }
    }
}
