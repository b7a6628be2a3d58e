import {
    type BackendLoad,
    type GroupLoad,
    GroupState,
    type GroupView,
    type ServiceView,
} from "@greengage/protocol";

/** Removals kept; a daemon that holds an older version gets the full view. */
const MAX_REMOVALS = 1_000;

interface VersionedView<View> {
    view: View;
    /** Content without load, to find changes. */
    key: string;
    changedVersion: number;
    loadKey: string;
    loadVersion: number;
}

interface Removal {
    version: number;
    kind: "group" | "service";
    id: string;
}

/** What a daemon lacks since the version that it holds. */
export interface ViewDelta {
    viewVersion: number;
    full: boolean;
    groups: GroupView[];
    services: ServiceView[];
    removedGroupIds: string[];
    removedServiceVmIds: string[];
    loads: GroupLoad[];
}

/** View of a zone's groups and services with a version per change, so that grants carry changes alone. */
export class ViewLog {
    readonly #groups = new Map<string, VersionedView<GroupView>>();
    readonly #services = new Map<string, VersionedView<ServiceView>>();
    #removals: Removal[] = [];
    #version = 1;
    /** Deltas start at this version or later. */
    #oldestVersion = 1;

    get version(): number {
        return this.#version;
    }

    /** What new work may go to: serving generations of groups, and available backend servers of services. */
    dispatchTargets(): Set<string> {
        const groups = [...this.#groups.values()].map(({ view }) => view);
        const services = [...this.#services.values()].map(({ view }) => view);
        return new Set([
            ...groups.filter((view) => view.state === GroupState.Serving).map((view) =>
                `${view.groupId}/${view.generation}`
            ),
            ...services.filter((view) => view.available).map((view) => view.vmId),
        ]);
    }

    /** Takes the present views. Returns whether anything but loads has changed. */
    update(groups: GroupView[], services: ServiceView[]): boolean {
        const next = this.#version + 1;
        const groupsChanged = this.#storeViews(this.#groups, "group", next, groups, (view) => view.groupId);
        const servicesChanged = this.#storeViews(
            this.#services,
            "service",
            next,
            services,
            (view) => view.vmId,
        );
        const loadsChanged = [...this.#groups.values()].some((stamped) => stamped.loadVersion === next);
        if (groupsChanged || servicesChanged || loadsChanged) {
            this.#version = next;
        }
        return groupsChanged || servicesChanged;
    }

    /** Changes since `heldVersion`; everything when that is undefined or too old. */
    deltaSince(heldVersion: number | undefined): ViewDelta {
        const full = heldVersion === undefined || heldVersion < this.#oldestVersion
            || heldVersion > this.#version;
        const held = full ? 0 : heldVersion;
        const removed = full ? [] : this.#removals.filter((removal) => removal.version > held);
        const isGone = (removal: Removal): boolean =>
            removal.kind === "group" ? !this.#groups.has(removal.id) : !this.#services.has(removal.id);
        const idsOf = (kind: Removal["kind"]): string[] => [
            ...new Set(
                removed.filter((removal) => removal.kind === kind && isGone(removal)).map(({ id }) => id),
            ),
        ];
        const groups = [...this.#groups.values()];
        return {
            viewVersion: this.#version,
            full,
            groups: groups.filter((stamped) => stamped.changedVersion > held).map(({ view }) => view),
            services: [...this.#services.values()].filter((stamped) => stamped.changedVersion > held).map((
                { view },
            ) => view),
            removedGroupIds: idsOf("group"),
            removedServiceVmIds: idsOf("service"),
            loads: groups.filter((stamped) => stamped.changedVersion <= held && stamped.loadVersion > held)
                .map((
                    { view },
                ) => ({ groupId: view.groupId, load: view.load })),
        };
    }

    #storeViews<View extends GroupView | ServiceView>(
        known: Map<string, VersionedView<View>>,
        kind: Removal["kind"],
        next: number,
        views: View[],
        idOf: (view: View) => string,
    ): boolean {
        let changed = false;
        const ids = new Set(views.map(idOf));
        for (const id of [...known.keys()].filter((id) => !ids.has(id))) {
            known.delete(id);
            this.#removals.push({ version: next, kind, id });
            changed = true;
        }
        for (const view of views) {
            const before = known.get(idOf(view));
            const key = JSON.stringify({ ...view, load: undefined });
            const loadKey = "load" in view ? loadKeyOf(view.load) : "";
            const isSame = before?.key === key;
            changed ||= !isSame;
            known.set(idOf(view), {
                view,
                key,
                changedVersion: isSame ? before.changedVersion : next,
                loadKey,
                loadVersion: before?.loadKey === loadKey ? before.loadVersion : next,
            });
        }
        if (this.#removals.length > MAX_REMOVALS) {
            const dropped = this.#removals.length - MAX_REMOVALS;
            this.#oldestVersion = this.#removals[dropped - 1]?.version ?? this.#oldestVersion;
            this.#removals = this.#removals.slice(dropped);
        }
        return changed;
    }
}

/** Loads count as changed in steps of one request, a hundredth of the cache, and a millisecond. */
const loadKeyOf = (load: BackendLoad): string =>
    [
        load.runningRequests,
        load.waitingRequests,
        Math.round(load.kvUsedShare * 100),
        Math.round(load.tokenGapMs),
    ]
        .join(" ");
