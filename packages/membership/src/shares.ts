import type { ShareTransfer } from "@greengage/protocol";

/** A whole limit. Zone shares are integer millionths, so that their sum is exact. */
export const WHOLE_MILLIONTHS = 1_000_000;

/** Fraction of a limit that is divided equally, so that a zone without demand can serve its first requests. */
const EQUAL_FRACTION = 0.1;

/**
 * Divides the organisations' limits over zones as a bounded counter: each zone starts with an equal share, and only
 * the zone that owns a share can transfer it. The totals transferred between zones only grow, so messages can be lost,
 * repeated or reordered: a share in transit counts for no zone, and none ever counts for two zones.
 */
export class ShareLedger {
    readonly #zones: string[];
    readonly #totals = new Map<string, ShareTransfer>();

    constructor(zones: string[]) {
        this.#zones = [...zones].sort();
    }

    /** Merges the totals of another copy of the ledger. */
    merge(transfers: ShareTransfer[]): void {
        for (const transfer of transfers) {
            const key = transferKey(transfer);
            const known = this.#totals.get(key)?.millionths ?? 0;
            this.#totals.set(key, { ...transfer, millionths: Math.max(known, transfer.millionths) });
        }
    }

    transfers(): ShareTransfer[] {
        return [...this.#totals.values()];
    }

    /** Share of a zone in millionths; at least 0. */
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

    /** Transfers a share to another zone, at most what the zone has. Returns the millionths transferred. */
    transfer(organisation: string, fromZone: string, toZone: string, millionths: number): number {
        const amount = Math.min(Math.floor(millionths), this.shareOf(organisation, fromZone));
        if (amount <= 0 || fromZone === toZone) {
            return 0;
        }
        const transfer = { organisation, fromZone, toZone, millionths: amount };
        const total = this.#totals.get(transferKey(transfer))?.millionths ?? 0;
        this.#totals.set(transferKey(transfer), { ...transfer, millionths: total + amount });
        return amount;
    }

    /** Drops organisations that are no longer in the table. */
    retain(organisations: Set<string>): void {
        for (const [key, transfer] of this.#totals) {
            if (!organisations.has(transfer.organisation)) {
                this.#totals.delete(key);
            }
        }
    }
}

/** Divides `whole` in proportion to the demands, and a tenth of it equally. The sum is at most `whole`. */
export const divideByDemand = (whole: number, demands: number[]): number[] => {
    const sum = demands.reduce((total, demand) => total + demand, 0);
    if (demands.length === 0) {
        return [];
    }
    const equalFraction = sum > 0 ? EQUAL_FRACTION : 1;
    return demands.map((demand) =>
        whole * (equalFraction / demands.length + (sum > 0 ? (1 - equalFraction) * (demand / sum) : 0))
    );
};

/** Divides `whole` into integers in proportion to the weights, by the largest remainder method. */
export const apportionByWeight = (whole: number, weights: number[]): number[] => {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    if (sum <= 0 || whole <= 0) {
        return weights.map(() => 0);
    }
    const exact = weights.map((weight) => whole * weight / sum);
    const parts = exact.map((part) => Math.floor(part));
    let remaining = whole - parts.reduce((total, part) => total + part, 0);
    const byRemainder = exact.map((part, index) => ({ index, remainder: part - Math.floor(part) }))
        .sort((a, b) => b.remainder - a.remainder || a.index - b.index);
    for (const { index } of byRemainder) {
        if (remaining <= 0) {
            break;
        }
        parts[index] = (parts[index] ?? 0) + 1;
        remaining -= 1;
    }
    return parts;
};

/** Share that a daemon may get now: its target, but no more than the other daemons leave of the total. */
export const clampToAvailable = (target: number, total: number, issuedToOthers: number): number =>
    Math.max(0, Math.min(target, total - issuedToOthers));

const transferKey = ({ organisation, fromZone, toZone }: ShareTransfer): string =>
    `${organisation}\n${fromZone}\n${toZone}`;
