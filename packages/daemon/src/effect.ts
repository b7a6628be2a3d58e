import { monotonicMs } from "@greengage/base";
import { type PeerAddress, type Peers, PeerUnreachableError } from "@greengage/protocol";

/** An edit must be in effect in every zone that can be reached within this time. */
const EFFECT_WAIT_MS = 3_000;

/** What one daemon said about a table version. */
const DaemonEffect = { Applied: "applied", Behind: "behind", Unreachable: "unreachable" } as const;

type DaemonEffect = typeof DaemonEffect[keyof typeof DaemonEffect];

export interface ZonesInEffect {
    inForceZones: string[];
    pendingZones: string[];
}

/**
 * Asks all daemons whether they have applied a log index, and waits up to 3 s. A zone counts when at least one of
 * its daemons has applied it and none that can be reached lacks it.
 */
export const zonesInEffect = async (
    peers: Peers,
    daemons: readonly Pick<PeerAddress, "daemonId" | "zone">[],
    index: number,
): Promise<ZonesInEffect> => {
    const untilMs = monotonicMs() + EFFECT_WAIT_MS;
    const effects = await Promise.all(daemons.map(async ({ daemonId, zone }) => ({
        zone,
        effect: await effectAt(peers, daemonId, index, untilMs),
    })));
    const zones = [...new Set(daemons.map((daemon) => daemon.zone))];
    const isInForce = (zone: string): boolean => {
        const ofZone = effects.filter((item) => item.zone === zone).map((item) => item.effect);
        return ofZone.includes(DaemonEffect.Applied) && !ofZone.includes(DaemonEffect.Behind);
    };
    return {
        inForceZones: zones.filter((zone) => isInForce(zone)),
        pendingZones: zones.filter((zone) => !isInForce(zone)),
    };
};

const effectAt = async (
    peers: Peers,
    daemonId: string,
    index: number,
    untilMs: number,
): Promise<DaemonEffect> => {
    const waitMs = Math.max(0, untilMs - monotonicMs());
    try {
        const request = { waitForIndex: index, waitMs: waitMs * 0.9 };
        const { appliedIndex } = await peers.call(daemonId, "raft.applied", request, { timeoutMs: waitMs });
        return appliedIndex >= index ? DaemonEffect.Applied : DaemonEffect.Behind;
    }
    catch (error) {
        return error instanceof PeerUnreachableError ? DaemonEffect.Unreachable : DaemonEffect.Behind;
    }
};
