import {
    type BackendLoad,
    type GroupLoad,
    GroupState,
    type GroupView,
    type ServiceView,
} from "@greengage/protocol";

/** Removals retained; a daemon that holds an older version gets the full view. */
const MAX_REMOVALS = 1_000;

interface VersionedView<View> {
    view: View;
    /** Serialised view without its load, to detect changes. */
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

/** Changes since the version that a daemon holds. */
export interface ViewDelta {
    viewVersion: number;
    full: boolean;
    groups: GroupView[];
    services: ServiceView[];
    removedGroupIds: string[];
    removedServiceVmIds: string[];
    loads: GroupLoad[];
}

/** Versioned view of a zone's groups and services, so that grants carry only the changes. */
export class ViewLog {
    readonly #groups = new Map<string, VersionedView<GroupView>>();
    readonly #services = new Map<string, VersionedView<ServiceView>>();
    #removals: Removal[] = [];
    #version = 1;
    /** Oldest version for which a delta can be built. */
    #oldestVersion = 1;

    get version(): number {
        return this.#version;
    }

    /** Targets that may get new work: serving generations of groups, and available backend servers of services. */
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

    /** Replaces the views with the current ones. Returns whether anything other than loads has changed. */
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
        const loadsChanged = [...this.#groups.values()].some((entry) => entry.loadVersion === next);
        if (groupsChanged || servicesChanged || loadsChanged) {
            this.#version = next;
        }
        return groupsChanged || servicesChanged;
    }

    /** Changes since `heldVersion`, or the full view if that is undefined or too old. */
    deltaSince(heldVersion: number | undefined): ViewDelta {
        const full = heldVersion === undefined || heldVersion < this.#oldestVersion
            || heldVersion > this.#version;
        const baseVersion = full ? 0 : heldVersion;
        const removed = full ? [] : this.#removals.filter((removal) => removal.version > baseVersion);
        const isAbsent = (removal: Removal): boolean =>
            removal.kind === "group" ? !this.#groups.has(removal.id) : !this.#services.has(removal.id);
        const idsOf = (kind: Removal["kind"]): string[] => [
            ...new Set(
                removed.filter((removal) => removal.kind === kind && isAbsent(removal)).map(({ id }) => id),
            ),
        ];
        const groups = [...this.#groups.values()];
        return {
            viewVersion: this.#version,
            full,
            groups: groups.filter((entry) => entry.changedVersion > baseVersion).map(({ view }) => view),
            services: [...this.#services.values()].filter((entry) => entry.changedVersion > baseVersion).map((
                { view },
            ) => view),
            removedGroupIds: idsOf("group"),
            removedServiceVmIds: idsOf("service"),
            loads: groups.filter((entry) =>
                entry.changedVersion <= baseVersion && entry.loadVersion > baseVersion
            )
                .map((
                    { view },
                ) => ({ groupId: view.groupId, load: view.load })),
        };
    }

    #storeViews<View extends GroupView | ServiceView>(
        entries: Map<string, VersionedView<View>>,
        kind: Removal["kind"],
        next: number,
        views: View[],
        idOf: (view: View) => string,
    ): boolean {
        let changed = false;
        const ids = new Set(views.map(idOf));
        for (const id of [...entries.keys()].filter((id) => !ids.has(id))) {
            entries.delete(id);
            this.#removals.push({ version: next, kind, id });
            changed = true;
        }
        for (const view of views) {
            const previous = entries.get(idOf(view));
            const key = JSON.stringify({ ...view, load: undefined });
            const loadKey = "load" in view ? loadKeyOf(view.load) : "";
            const isSame = previous?.key === key;
            changed ||= !isSame;
            entries.set(idOf(view), {
                view,
                key,
                changedVersion: isSame ? previous.changedVersion : next,
                loadKey,
                loadVersion: previous?.loadKey === loadKey ? previous.loadVersion : next,
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

/** Rounds a load to whole requests, hundredths of the KV cache and milliseconds; smaller changes aren't sent. */
const loadKeyOf = (load: BackendLoad): string =>
    [
        load.runningRequests,
        load.waitingRequests,
        Math.round(load.kvUsedShare * 100),
        Math.round(load.tokenGapMs),
    ]
        .join(" ");
