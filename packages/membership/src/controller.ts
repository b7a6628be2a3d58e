import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Calls, Peers, ZoneExchange } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { adoptGroups } from "./adoption.ts";
import { DaemonRegistry } from "./daemonRegistry.ts";
import { DowntimeTracker } from "./downtime.ts";
import { checkLeaving, isServiceIdle, startDrainIfDue } from "./drain.ts";
import { planVmDrain } from "./drainPlan.ts";
import { formGroups, planDrains } from "./forming.ts";
import { GrantIssuer } from "./grantIssuer.ts";
import { DowntimeCause } from "./group.ts";
import { GroupRegistry } from "./groupRegistry.ts";
import { Handover } from "./handover.ts";
import type { LeaseHistory, ZoneLease } from "./lease.ts";
import { LimitExchange } from "./limitExchange.ts";
import { OrderReconciler } from "./orderReconciler.ts";
import type { OrderSender } from "./orders.ts";
import { PlacementName, placementPolicies } from "./placement.ts";
import { replaceStragglers } from "./stragglers.ts";
import { collectHeld, forget } from "./takeover.ts";
import type { MembershipTiming } from "./timing.ts";
import { byUrgency, stepGroup } from "./transitions.ts";
import { ViewLog } from "./viewLog.ts";
import { VmRegistry } from "./vmRegistry.ts";
import { WeightStoreLimiter, type WeightStoreOptions } from "./weightStoreLimiter.ts";
import { type ZoneState } from "./zoneState.ts";
import { sendGauges, type ZoneStats, zoneStatsOf } from "./zoneStats.ts";
import { freshUntilMs, groupViews, markDrainVersions, serviceViews } from "./zoneViews.ts";

const CONTROL_PERIOD_MS = 100;
const METRICS_PERIOD_MS = 1_000;
// After a pause of the process the time in between isn't known to have been spent in the present state.
const MAX_TICK_MS = 5_000;

export interface ZoneControllerOptions {
    context: Context;
    peers: Peers;
    table: TableState;
    timing: MembershipTiming;
    orders: OrderSender;
    lease: () => Pick<ZoneLease, "isValid" | "fence" | "remainingMs" | "raiseFence">;
    zoneDaemonIds: string[];
    /** All zones, for the exchange of organisation limits. */
    zones: string[];
    /** Default: `bestFit`. */
    placement?: PlacementName;
    weightStore?: WeightStoreOptions;
}

/** Forms, loads, repairs and dissolves the replica groups of a zone while this daemon holds the zone's lease. */
export class ZoneController {
    readonly #options: ZoneControllerOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #zone: ZoneState;
    readonly #reconciler: OrderReconciler;
    readonly #exchange: LimitExchange;
    readonly #grants: GrantIssuer;
    #handover: Handover | undefined;
    #epoch = 0;
    #isActive = false;
    #freshUntilMs = 0;
    #lastTickMs = 0;

    constructor(options: ZoneControllerOptions) {
        this.#options = options;
        const { context, timing, table, peers } = options;
        this.#zone = {
            context,
            timing,
            table,
            vms: new VmRegistry(context, timing),
            groups: new GroupRegistry(context),
            daemons: new DaemonRegistry(timing.grantMs),
            views: new ViewLog(),
            downtime: new DowntimeTracker(),
            weightStore: new WeightStoreLimiter(options.weightStore),
            placement: placementPolicies[options.placement ?? PlacementName.BestFit],
            stepStartedAtMs: 0,
            adoptionEndsAtMs: 0,
            isHandoverDone: () => this.#handover?.isDone ?? false,
            tableFloor: () => this.#grants.tableFloor,
        };
        this.#reconciler = new OrderReconciler(this.#zone, options.orders);
        this.#exchange = new LimitExchange({
            zone: context.zone,
            zones: options.zones,
            table,
            grantMs: timing.grantMs,
        });
        const { lease } = options;
        this.#grants = new GrantIssuer({ zone: this.#zone, peers, exchange: this.#exchange, lease });
        peers.handle("report.batch", (request) => this.#takeBatch(request));
        peers.handle("grant.renew", (request) => this.#renewGrant(request));
        peers.handle("vm.drain", (request) => this.#drainVm(request));
        peers.handle("zone.confirmStopped", ({ fence }) => ({
            stopped: !(lease().isValid && lease().fence <= fence)
                && !options.orders.mayHaveInFlight(fence),
        }));
    }

    start(): void {
        const log = this.#options.context.logs(LogPart.Groups);
        const onError = (error: unknown): void =>
            log.error("a control step has failed", { reason: messageOf(error) });
        this.#lifecycle.every(CONTROL_PERIOD_MS, () => this.#step(), onError);
        this.#lifecycle.every(METRICS_PERIOD_MS, () => this.#sendMetrics(), onError);
    }

    async close(): Promise<void> {
        this.deactivate();
        await this.#lifecycle.close();
        await this.#handover?.close();
        await this.#options.orders.close();
    }

    get tableFloor(): number {
        return this.#grants.tableFloor;
    }

    raiseTableFloor(version: number): void {
        this.#grants.raiseTableFloor(version);
    }

    /** Takes over the zone: collects the held reports and adopts the groups they name. */
    async activate(fence: number, history: LeaseHistory): Promise<void> {
        const epoch = ++this.#epoch;
        const { peers, zoneDaemonIds, timing } = this.#options;
        const { groups, downtime } = this.#zone;
        const startedAtMs = monotonicMs();
        this.#isActive = false;
        forget(this.#zone);
        void this.#handover?.close();
        this.#handover = new Handover({
            peers,
            zone: this.#options.context.zone,
            fence,
            formerHolderIds: this.#formerHolders(fence, history),
            limitMs: timing.unfencedHandoverMs,
        });
        await collectHeld({
            zone: this.#zone,
            peers,
            exchange: this.#exchange,
            zoneDaemonIds,
            onTableVersion: (version) => this.raiseTableFloor(version),
        });
        if (epoch !== this.#epoch) {
            return;
        }
        adoptGroups(this.#zone);
        const gapS = ((history.idleMs ?? 0) + monotonicMs() - startedAtMs) / 1_000;
        downtime.addDowntime(DowntimeCause.NoController, gapS * groups.all().length);
        this.#lastTickMs = monotonicMs();
        this.#isActive = true;
        this.#step();
    }

    deactivate(): void {
        this.#epoch += 1;
        this.#isActive = false;
    }

    /** Downtime, stranded accelerators and conditions of the zone, for status and metrics. */
    stats(): ZoneStats {
        return zoneStatsOf(this.#zone, this.#isController);
    }

    /** What this zone tells other controllers about organisation limits, while it is the controller. */
    exchangeMessage(): ZoneExchange | undefined {
        return this.#isController ? this.#exchange.message() : undefined;
    }

    applyExchange(message: ZoneExchange): void {
        this.#exchange.take(message);
    }

    get #isController(): boolean {
        return this.#isActive && this.#options.lease().isValid;
    }

    /** Daemons that may have an order in flight when the acceptors can't name them. */
    #formerHolders(fence: number, history: LeaseHistory): string[] {
        const others = this.#options.zoneDaemonIds.filter((id) => id !== this.#options.peers.daemonId);
        return fence === 1 ? [] : history.formerHolderIds ?? others;
    }

    #takeBatch(request: Calls["report.batch"]["request"]): Calls["report.batch"]["response"] {
        const lease = this.#options.lease();
        if (!lease.isValid) {
            return { accepted: false, needFull: [], releasedVmIds: [] };
        }
        const { vms } = this.#zone;
        let isUrgent = false;
        for (const { report, ageMs } of request.changed) {
            isUrgent ||= report.leaving && vms.get(report.vmId)?.report.leaving !== true;
            vms.take(report, ageMs);
            if (report.highestFence > lease.fence) {
                lease.raiseFence(report.highestFence);
            }
        }
        const needFull = request.unchanged.filter((entry) => !vms.takeUnchanged(entry)).map(({ vmId }) =>
            vmId
        );
        if (isUrgent) {
            this.#step();
        }
        const vmIds = [...request.changed.map(({ report }) => report), ...request.unchanged].map((entry) =>
            entry.vmId
        );
        return { accepted: true, needFull, releasedVmIds: vmIds.filter((vmId) => this.#isReleased(vmId)) };
    }

    /** One control step: sees what has changed, decides, and sends orders and pushes. It never waits. */
    #step(): void {
        if (!this.#isController) {
            return;
        }
        const zone = this.#zone;
        zone.stepStartedAtMs = monotonicMs();
        this.#tick();
        zone.vms.step();
        adoptGroups(zone);
        planDrains(zone);
        replaceStragglers(zone);
        for (const group of byUrgency(zone)) {
            stepGroup(zone, group);
        }
        formGroups(zone);
        // After forming, so that a group that is to be drained knows whether it has a replacement.
        for (const group of zone.groups.all()) {
            startDrainIfDue(zone, group);
        }
        this.#reconciler.step();
        this.#refreshViews();
        this.#exchange.step(zone.daemons.active());
    }

    #tick(): void {
        const nowMs = monotonicMs();
        this.#zone.downtime.tick(this.#zone, Math.min(nowMs - this.#lastTickMs, MAX_TICK_MS) / 1_000);
        this.#lastTickMs = nowMs;
    }

    #refreshViews(): void {
        const zone = this.#zone;
        const offeredBefore = zone.views.offered();
        zone.views.update(groupViews(zone), serviceViews(zone));
        markDrainVersions(zone);
        this.#freshUntilMs = freshUntilMs(zone);
        for (const group of zone.groups.all()) {
            checkLeaving(zone, group);
        }
        const offered = zone.views.offered();
        if ([...offeredBefore].some((key) => !offered.has(key))) {
            this.#grants.push();
        }
    }

    #renewGrant(request: Calls["grant.renew"]["request"]): Calls["grant.renew"]["response"] {
        if (!this.#isController || request.zone !== this.#options.context.zone) {
            return {};
        }
        // A report has become too old since the last step.
        if (monotonicMs() >= this.#freshUntilMs) {
            this.#step();
        }
        return this.#grants.renew(request);
    }

    #isReleased(vmId: string): boolean {
        const zone = this.#zone;
        const vm = zone.vms.get(vmId);
        const isOut = vm !== undefined && vm.report.leaving && this.#isController
            && zone.groups.groupOf(vmId) === undefined && monotonicMs() >= zone.adoptionEndsAtMs;
        return isOut && (vm.report.service === undefined || isServiceIdle(zone, vm, vm.leavingVersion));
    }

    #drainVm(request: Calls["vm.drain"]["request"]): Calls["vm.drain"]["response"] {
        const { vms, context } = this.#zone;
        if (!this.#isController || vms.get(request.vmId) === undefined) {
            return {};
        }
        const plan = planVmDrain(this.#zone, request);
        if (!request.dryRun) {
            vms.drained[request.drain ? "add" : "delete"](request.vmId);
            context.timeline.record("groups", request.drain ? "vm.drained" : "vm.undrained", {
                vmId: request.vmId,
            });
            this.#step();
        }
        return { plan };
    }

    #sendMetrics(): void {
        if (this.#isController) {
            sendGauges(this.#zone);
        }
    }
}
