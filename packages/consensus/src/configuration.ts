import { decode, encode, type LogEntry, type Member } from "@greengage/protocol";
import type { EntryList } from "./entrylist.ts";

/** Cluster membership, as stored in a configuration entry. */
export interface Configuration {
    clusterId: string;
    members: Member[];
}

export const encodeConfiguration = (configuration: Configuration): Uint8Array => encode(configuration);

const EMPTY_CONFIGURATION: Configuration = { clusterId: "", members: [] };

/** Configuration entries of the log. The latest one is in force, whether it is committed or not. */
export class ConfigurationHistory {
    #history: { index: number; configuration: Configuration; payload: Uint8Array; }[] = [];

    get current(): Configuration {
        return this.#history.at(-1)?.configuration ?? EMPTY_CONFIGURATION;
    }

    /** Index of the entry that holds the current configuration. */
    get currentIndex(): number {
        return this.#history.at(-1)?.index ?? 0;
    }

    /** Payload of the configuration that was in force at `index`. */
    payloadAt(index: number): Uint8Array {
        return this.#history.findLast((item) => item.index <= index)?.payload
            ?? encodeConfiguration(EMPTY_CONFIGURATION);
    }

    /** Removes configurations at or after the index of the first entry, then adds those among `entries`. */
    truncateAndAppend(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        this.#history = this.#history.filter((item) => item.index < first.index);
        for (const { kind, index, payload } of entries) {
            if (kind === "configuration") {
                this.#history.push({ index, payload, configuration: decode(payload) as Configuration });
            }
        }
    }

    /** Rebuilds the history from a snapshot's configuration and the log entries after the snapshot. */
    reset(snapshotIndex: number, payload: Uint8Array | undefined, log: EntryList): void {
        this.#history = [];
        if (payload !== undefined) {
            const configuration = decode(payload) as Configuration;
            this.#history.push({ index: snapshotIndex, payload, configuration });
        }
        this.truncateAndAppend(log.all().filter((entry) => entry.index > snapshotIndex));
    }
}
