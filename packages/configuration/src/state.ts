import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";

/** Configuration document as received from the operator. */
export interface StoredConfiguration {
    version: number;
    document: Uint8Array;
}

/** Replicated log command that proposes a complete configuration. */
export interface ReplaceConfigurationCommand extends Command, StoredConfiguration {
    type: "configuration.replace";
}

export interface ReplaceConfigurationResult {
    /** False when a configuration with this or a higher version was in force already. */
    isChanged: boolean;
    /** Version in force after the command. */
    version: number;
}

/** Replicated state machine that keeps the configuration with the highest version and ignores any other. */
export class ConfigurationState implements StateMachine {
    #latest: StoredConfiguration | undefined;
    readonly #listeners = new Set<() => void>();

    get latest(): StoredConfiguration | undefined {
        return this.#latest;
    }

    get version(): number {
        return this.#latest?.version ?? 0;
    }

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
