/** A daemon that the settings list. */
export interface ConfiguredDaemon {
    daemonId: string;
    zone: string;
    controlOnly: boolean;
}

const MAX_ACCEPTORS = 5;

/**
 * Selects the lease acceptors of a zone, with the same result on every daemon: an odd number of the zone's own daemons,
 * control-only ones first. A zone with two daemons adds a witness from the alphabetically next zone, so that a
 * majority survives the loss of one daemon.
 */
export const leaseAcceptorsOf = (zone: string, daemons: readonly ConfiguredDaemon[]): string[] => {
    const own = sortByPreference(daemons.filter((daemon) => daemon.zone === zone));
    if (own.length !== 2) {
        const oddCount = own.length % 2 === 1 ? own.length : own.length - 1;
        return own.slice(0, Math.min(oddCount, MAX_ACCEPTORS)).map((daemon) => daemon.daemonId);
    }
    const zones = [...new Set(daemons.map((daemon) => daemon.zone))].sort();
    const nextZone = zones[(zones.indexOf(zone) + 1) % zones.length];
    const witness =
        sortByPreference(daemons.filter((daemon) => daemon.zone === nextZone && daemon.zone !== zone))[0];
    return [...own, ...(witness === undefined ? [] : [witness])].map((daemon) => daemon.daemonId);
};

const sortByPreference = (daemons: readonly ConfiguredDaemon[]): ConfiguredDaemon[] =>
    [...daemons].sort((a, b) =>
        Number(b.controlOnly) - Number(a.controlOnly) || a.daemonId.localeCompare(b.daemonId)
    );
