import type { Command, StateMachine } from "@greengage/consensus";
import { decode, encode } from "@greengage/protocol";
import { startRank } from "./starttime.ts";

/** Twice the servers of the largest fleet fit. Reports that arrive late do so within seconds. */
const MAX_SERVERS = 1_500;
/** Processes of a server whose late reports may still arrive. */
const MAX_PROCESSES_PER_SERVER = 4;

/** A process of a backend server that has announced its end, and was acknowledged. */
export interface Departure {
    serverId: string;
    /** Start time of the process. */
    bornMs: number;
}

/** Replicated log command that records departures. Former versions log it as unknown and go on. */
export interface RecordDeparturesCommand extends Command {
    type: "departures.record";
    departures: Departure[];
}

/**
 * Replicated state machine that keeps the processes of backend servers that drain or have announced their end. A successor of the
 * leader that has acknowledged one knows it, as a server says nothing more after the acknowledgement.
 */
export class DepartureState implements StateMachine {
    /** Start times of the processes that depart, by server id, in the order in which they were recorded. */
    readonly #bornMs = new Map<string, number[]>();
    readonly #listeners = new Set<() => void>();

    /** Whether this process, or a later one of the server, has been recorded. */
    has({ serverId, bornMs }: Departure): boolean {
        const rank = startRank(bornMs);
        return this.#bornMs.get(serverId)?.some((recorded) => startRank(recorded) >= rank) ?? false;
    }

    onChange(listener: () => void): void {
        this.#listeners.add(listener);
    }

    apply(_: number, command: Command): void {
        const { departures } = command as RecordDeparturesCommand;
        departures.forEach((departure) => this.#add(departure));
        this.#notify();
    }

    snapshot(): Uint8Array {
        return encode(
            [...this.#bornMs].flatMap(([serverId, starts]) =>
                starts.map((bornMs): Departure => ({ serverId, bornMs }))
            ),
        );
    }

    restore(snapshot: Uint8Array): void {
        (decode(snapshot) as Departure[]).forEach((departure) => this.#add(departure));
        this.#notify();
    }

    /** Doesn't depend on this daemon's clock, so that all daemons record the same. */
    #add({ serverId, bornMs }: Departure): void {
        const starts = this.#bornMs.get(serverId) ?? [];
        if (starts.includes(bornMs)) {
            return;
        }
        this.#bornMs.delete(serverId);
        this.#bornMs.set(serverId, [...starts, bornMs].slice(-MAX_PROCESSES_PER_SERVER));
        const [oldestId] = this.#bornMs.keys();
        if (oldestId !== undefined && this.#bornMs.size > MAX_SERVERS) {
            this.#bornMs.delete(oldestId);
        }
    }

    #notify(): void {
        this.#listeners.forEach((listener) => listener());
    }
}
