import { decode, encode } from "@greengage/protocol";
import type { Command, StateMachine } from "./replicatedlog.ts";

/** Dispatches each command to one of several state machines, selected by the part of its type before the dot. */
export class CompositeStateMachine implements StateMachine {
    readonly #machines: Record<string, StateMachine>;

    constructor(machines: Record<string, StateMachine>) {
        this.#machines = machines;
    }

    apply(index: number, command: Command): unknown {
        const name = command.type.split(".", 1)[0] ?? "";
        const machine = this.#machines[name];
        if (machine === undefined) {
            throw new Error(`no state machine handles the command type ${command.type}`);
        }
        return machine.apply(index, command);
    }

    snapshot(): Uint8Array {
        const entries = Object.entries(this.#machines).map(([name, machine]) => [name, machine.snapshot()]);
        return encode(Object.fromEntries(entries));
    }

    restore(snapshot: Uint8Array): void {
        const parts = decode(snapshot) as Record<string, Uint8Array>;
        for (const [name, machine] of Object.entries(this.#machines)) {
            const part = parts[name];
            if (part !== undefined) {
                machine.restore(part);
            }
        }
    }
}
