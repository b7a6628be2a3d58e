import { InProcessZone, type InProcessZoneOptions, type ZoneVm, type ZoneVmOptions } from "@greengage/bench";
import { waitFor } from "@greengage/faults";
import type { GroupView } from "@greengage/protocol";
import type { ExecutionContext } from "ava";

export const ZONE = "zone-a";

/** Starts a zone with one model. Its daemons are `zone-a-1`, `zone-a-2` and so on. */
export const startZone = (
    t: ExecutionContext,
    options: Partial<InProcessZoneOptions> & { model?: Record<string, unknown>; } = {},
): InProcessZone => {
    const { model, ...rest } = options;
    const zone = new InProcessZone({
        daemonsPerZone: { [ZONE]: 1 },
        rows: [
            { kind: "model", name: "assistant", columns: { vmsPerReplica: 2, ...model } },
            { kind: "setting", name: "fleet", columns: { downtimeWeight: 0 } },
        ],
        ...rest,
    });
    zone.start();
    t.teardown(() => zone.close());
    return zone;
};

/** Adds VMs to one fabric domain. Their ids are `rack-1-vm-1`, `rack-1-vm-2` and so on. */
export const addVms = (
    zone: InProcessZone,
    domain: string,
    count: number,
    options: Partial<ZoneVmOptions> = {},
): ZoneVm[] =>
    Array.from(
        { length: count },
        (_, index) =>
            zone.addVm({ vmId: `${domain}-vm-${index + 1}`, zone: ZONE, fabricDomain: domain, ...options }),
    );

/** Waits until exactly `count` groups serve in the view of a daemon. */
export const waitForServingGroups = (
    zone: InProcessZone,
    count: number,
    daemonId = `${ZONE}-1`,
): Promise<GroupView[]> =>
    waitFor(`${count} serving groups`, () => {
        const serving = zone.serving(daemonId, "assistant");
        return serving.length === count ? serving : undefined;
    });

export const waitForServingGroup = async (zone: InProcessZone, daemonId = `${ZONE}-1`): Promise<GroupView> =>
    (await waitForServingGroups(zone, 1, daemonId))[0] as GroupView;

export const vmOf = (zone: InProcessZone, vmId: string | undefined): ZoneVm => {
    const vm = zone.vms.get(vmId ?? "");
    if (vm === undefined) {
        throw new Error(`no VM with id ${vmId}`);
    }
    return vm;
};

/** Kinds of the events in the time lines of all daemons. */
export const eventKinds = (zone: InProcessZone): string[] =>
    zone.daemons.flatMap(({ context }) => context.timeline.events().map((event) => event.kind));
