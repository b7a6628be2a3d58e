import { decode, encode, type LogEntry, type Member } from "@greengage/protocol";
import type { EntryList } from "./entrylist.ts";

/** Members of the cluster, as a configuration entry states them. */
export interface Configuration {
    clusterId: string;
    members: Member[];
}

export const encodeConfiguration = (configuration: Configuration): Uint8Array => encode(configuration);

const NO_MEMBERS: Configuration = { clusterId: "", members: [] };

/** The configurations of the log. The newest one is in force, whether it is committed or not. */
export class ConfigurationHistory {
    #items: { index: number; configuration: Configuration; payload: Uint8Array; }[] = [];

    get current(): Configuration {
        return this.#items.at(-1)?.configuration ?? NO_MEMBERS;
    }

    /** Index of the entry that holds the current configuration. */
    get currentIndex(): number {
        return this.#items.at(-1)?.index ?? 0;
    }

    /** Payload of the configuration in force at `index`. */
    payloadAt(index: number): Uint8Array {
        return this.#items.findLast((item) => item.index <= index)?.payload
            ?? encodeConfiguration(NO_MEMBERS);
    }

    /** Forgets configurations from the first of `entries` on and takes in those of `entries`. */
    put(entries: readonly LogEntry[]): void {
        const first = entries[0];
        if (first === undefined) {
            return;
        }
        this.#items = this.#items.filter((item) => item.index < first.index);
        for (const { kind, index, payload } of entries) {
            if (kind === "configuration") {
                this.#items.push({ index, payload, configuration: decode(payload) as Configuration });
            }
        }
    }

    /** Starts over with a snapshot's configuration and the entries that follow it. */
    reset(snapshotIndex: number, payload: Uint8Array | undefined, log: EntryList): void {
        this.#items = [];
        if (payload !== undefined) {
            const configuration = decode(payload) as Configuration;
            this.#items.push({ index: snapshotIndex, payload, configuration });
        }
        this.put(log.all().filter((entry) => entry.index > snapshotIndex));
    }
}
