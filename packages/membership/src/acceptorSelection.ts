/** A daemon as the settings list it. */
export interface ConfiguredDaemon {
    daemonId: string;
    zone: string;
    controlOnly: boolean;
}

const MAX_ACCEPTORS = 5;

/**
 * Lease acceptors of a zone, the same on every daemon: the zone's own daemons, control-only ones first.
 * A zone with two daemons gets a witness in the next zone by name, so that a majority survives the loss of one.
 */
export const leaseAcceptorsOf = (zone: string, daemons: readonly ConfiguredDaemon[]): string[] => {
    const own = sortByPreference(daemons.filter((daemon) => daemon.zone === zone));
    if (own.length !== 2) {
        const odd = own.length % 2 === 1 ? own.length : own.length - 1;
        return own.slice(0, Math.min(odd, MAX_ACCEPTORS)).map((daemon) => daemon.daemonId);
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
