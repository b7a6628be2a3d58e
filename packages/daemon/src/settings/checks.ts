import { DEFAULT_TIMING } from "@greengage/membership";
import type { Settings } from "../settings.ts";
import type { KeyPath } from "./source.ts";

/** Problem found by a check that the schema can't express. */
interface SettingsProblem {
    keyPath: KeyPath;
    found: string;
    allowed: string;
}

type Check = (settings: Settings) => SettingsProblem[];

const ownEntryOf = (settings: Settings): Settings["daemons"][number] | undefined =>
    settings.daemons.find((daemon) => daemon.daemonId === settings.daemonId);

const checkOwnEntry: Check = (settings) => {
    const own = ownEntryOf(settings);
    if (own === undefined) {
        const ids = settings.daemons.map((daemon) => daemon.daemonId).join(", ");
        return [{
            keyPath: ["daemonId"],
            found: `"${settings.daemonId}"`,
            allowed: `an id in daemons: ${ids}`,
        }];
    }
    if (own.zone !== settings.zone) {
        const allowed = `"${own.zone}", the zone of this daemon in daemons`;
        return [{ keyPath: ["zone"], found: `"${settings.zone}"`, allowed }];
    }
    return [];
};

/** Reports each entry whose value occurs in an earlier entry. */
const checkUnique = (
    settings: Settings,
    key: "daemonId" | "port",
    valueOf: (daemon: Settings["daemons"][number]) => string,
): SettingsProblem[] => {
    const firstByValue = new Map<string, number>();
    return settings.daemons.flatMap((daemon, index) => {
        const value = valueOf(daemon);
        const first = firstByValue.get(value);
        firstByValue.set(value, first ?? index);
        if (first === undefined) {
            return [];
        }
        const allowed = `a value that no other entry has (entry ${first} has it too)`;
        return [{ keyPath: ["daemons", index, key], found: `"${value}"`, allowed }];
    });
};

const checkUniqueIds: Check = (settings) => checkUnique(settings, "daemonId", (daemon) => daemon.daemonId);

const checkUniqueAddresses: Check = (settings) =>
    checkUnique(settings, "port", (daemon) => `${daemon.host}:${daemon.port}`);

const checkOwnPorts: Check = (settings) => {
    const own = ownEntryOf(settings);
    const isShared = own?.host === settings.http.host && own.port === settings.http.port;
    const allowed = "another port than that of this daemon's entry in daemons";
    return isShared ? [{ keyPath: ["http", "port"], found: String(settings.http.port), allowed }] : [];
};

// An even number of voters tolerates no more failures than the next lower odd number.
const checkVoterCount: Check = (settings) => {
    const voters = settings.daemons.filter((daemon) => daemon.voter).map((daemon) => daemon.daemonId);
    if (voters.length % 2 === 1) {
        return [];
    }
    const found = voters.length === 0 ? "no voters" : `${voters.length} voters (${voters.join(", ")})`;
    return [{ keyPath: ["daemons"], found, allowed: "an odd number of entries with voter: true" }];
};

const checkVoterFolder: Check = (settings) => {
    if (ownEntryOf(settings)?.voter !== true || settings.dataFolder !== undefined) {
        return [];
    }
    const allowed = "a folder on a disk, because this daemon is a voter";
    return [{ keyPath: ["dataFolder"], found: "nothing", allowed }];
};

const checkBootstrap: Check = (settings) => {
    if (!settings.bootstrap || ownEntryOf(settings)?.voter !== false) {
        return [];
    }
    return [{ keyPath: ["bootstrap"], found: "true", allowed: "false, because this daemon is not a voter" }];
};

interface TimingConstraint {
    shorter: keyof typeof DEFAULT_TIMING;
    longer: keyof typeof DEFAULT_TIMING;
    /** `shorter` times this must be less than `longer`. */
    factor: number;
}

// A grant must expire before the lease that backs it, and a lease before its holder's VMs count as missing.
// Renewals and reports need time for two attempts before expiry.
const timingConstraints: TimingConstraint[] = [
    { shorter: "grantMs", longer: "leaseMs", factor: 1 },
    { shorter: "leaseMs", longer: "missingAfterMs", factor: 1 },
    { shorter: "leaseRenewMs", longer: "leaseMs", factor: 2 },
    { shorter: "grantRenewMs", longer: "grantMs", factor: 2 },
    { shorter: "reportBatchMs", longer: "missingAfterMs", factor: 2 },
];

const checkTiming: Check = (settings) => {
    const values = { ...DEFAULT_TIMING, ...settings.timing };
    return timingConstraints.flatMap(({ shorter, longer, factor }) => {
        if (values[shorter] * factor < values[longer]) {
            return [];
        }
        const key = settings.timing[shorter as keyof Settings["timing"]] === undefined ? longer : shorter;
        const share = factor === 1 ? "" : `1/${factor} of `;
        const allowed = `${shorter} below ${share}${longer} (${values[longer]})`;
        return [{ keyPath: ["timing", key], found: `${shorter} ${values[shorter]}`, allowed }];
    });
};

const checkDeadlines: Check = (settings) => {
    const { deadlineMs, maxDeadlineMs } = settings.limits;
    if (deadlineMs === undefined || maxDeadlineMs === undefined || deadlineMs <= maxDeadlineMs) {
        return [];
    }
    const allowed = `at most maxDeadlineMs (${maxDeadlineMs})`;
    return [{ keyPath: ["limits", "deadlineMs"], found: String(deadlineMs), allowed }];
};

/** Checks for settings that already conform to the schema. */
export const settingsChecks: readonly Check[] = [
    checkOwnEntry,
    checkUniqueIds,
    checkUniqueAddresses,
    checkOwnPorts,
    checkVoterCount,
    checkVoterFolder,
    checkBootstrap,
    checkTiming,
    checkDeadlines,
];
