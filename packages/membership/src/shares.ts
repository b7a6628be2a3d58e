import type { ShareTransfer } from "@greengage/protocol";

/** Shares of zones are integers, so that their sum is exact. */
export const WHOLE_MILLIONTHS = 1_000_000;

/** Part of a limit that is divided equally, so that a zone without demand can serve its first requests. */
const EQUAL_FRACTION = 0.1;

/**
 * Division of the organisations' limits over zones as a bounded counter: each zone starts with an equal part, and
 * only the zone that has a part can give it away. Totals of each transfer only grow, so messages can be lost,
 * repeated or reordered: a part counts for nobody while its transfer is under way, and never for two zones.
 */
export class ShareLedger {
    readonly #zones: string[];
    readonly #totals = new Map<string, ShareTransfer>();

    constructor(zones: string[]) {
        this.#zones = [...zones].sort();
    }

    /** Takes in totals of another copy of the ledger. */
    merge(transfers: ShareTransfer[]): void {
        for (const transfer of transfers) {
            const key = keyOf(transfer);
            const known = this.#totals.get(key)?.millionths ?? 0;
            this.#totals.set(key, { ...transfer, millionths: Math.max(known, transfer.millionths) });
        }
    }

    transfers(): ShareTransfer[] {
        return [...this.#totals.values()];
    }

    /** Part of a zone in millionths; at least 0. */
    shareOf(organisation: string, zone: string): number {
        let share = Math.floor(WHOLE_MILLIONTHS / this.#zones.length);
        for (const transfer of this.#totals.values()) {
            if (transfer.organisation !== organisation) {
                continue;
            }
            share += transfer.toZone === zone ? transfer.millionths : 0;
            share -= transfer.fromZone === zone ? transfer.millionths : 0;
        }
        return Math.max(0, share);
    }

    /** Gives a part away, at most what the zone has. Returns the part given. */
    transfer(organisation: string, fromZone: string, toZone: string, millionths: number): number {
        const given = Math.min(Math.floor(millionths), this.shareOf(organisation, fromZone));
        if (given <= 0 || fromZone === toZone) {
            return 0;
        }
        const transfer = { organisation, fromZone, toZone, millionths: given };
        const total = this.#totals.get(keyOf(transfer))?.millionths ?? 0;
        this.#totals.set(keyOf(transfer), { ...transfer, millionths: total + given });
        return given;
    }

    /** Forgets organisations that are no longer in the table. */
    retain(organisations: Set<string>): void {
        for (const [key, transfer] of this.#totals) {
            if (!organisations.has(transfer.organisation)) {
                this.#totals.delete(key);
            }
        }
    }
}

/** Parts of `whole` in proportion to the demands, a tenth of it in equal parts. The sum is at most `whole`. */
export const divideByDemand = (whole: number, demands: number[]): number[] => {
    const sum = demands.reduce((total, demand) => total + demand, 0);
    if (demands.length === 0) {
        return [];
    }
    const equal = sum > 0 ? EQUAL_FRACTION : 1;
    return demands.map((demand) =>
        whole * (equal / demands.length + (sum > 0 ? (1 - equal) * (demand / sum) : 0))
    );
};

/** Integers with the sum `whole` in proportion to the weights, by largest remainder. */
export const apportionByWeight = (whole: number, weights: number[]): number[] => {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    if (sum <= 0 || whole <= 0) {
        return weights.map(() => 0);
    }
    const exact = weights.map((weight) => whole * weight / sum);
    const parts = exact.map((part) => Math.floor(part));
    let left = whole - parts.reduce((total, part) => total + part, 0);
    const byRemainder = exact.map((part, index) => ({ index, remainder: part - Math.floor(part) }))
        .sort((a, b) => b.remainder - a.remainder || a.index - b.index);
    for (const { index } of byRemainder) {
        if (left <= 0) {
            break;
        }
        parts[index] = (parts[index] ?? 0) + 1;
        left -= 1;
    }
    return parts;
};

/** What a daemon may get now: its target, less what others still hold beyond the rest of the total. */
export const clampToAvailable = (target: number, total: number, heldByOthers: number): number =>
    Math.max(0, Math.min(target, total - heldByOthers));

const keyOf = ({ organisation, fromZone, toZone }: ShareTransfer): string =>
    `${organisation}\n${fromZone}\n${toZone}`;
