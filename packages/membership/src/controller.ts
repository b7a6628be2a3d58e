import { type Context, Lifecycle, LogPart, messageOf, monotonicMs } from "@greengage/base";
import type { Calls, Peers, ZoneExchange } from "@greengage/protocol";
import type { TableState } from "@greengage/table";
import { adoptGroups } from "./adoption.ts";
import { DaemonRegistry } from "./daemonregistry.ts";
import { DowntimeTracker } from "./downtime.ts";
import { checkLeavingDeadline, isServiceIdle, startDrainIfDue } from "./drain.ts";
import { planVmDrain } from "./drainplan.ts";
import { formGroups, planDrains } from "./forming.ts";
import { GrantIssuer } from "./grantissuer.ts";
import { DowntimeCause } from "./group.ts";
import { GroupRegistry } from "./groupregistry.ts";
import { Handover } from "./handover.ts";
import type { LeaseHistory, ZoneLease } from "./lease.ts";
import { LimitExchange } from "./limitexchange.ts";
import { OrderReconciler } from "./orderreconciler.ts";
import type { OrderSender } from "./orders.ts";
import { PlacementName, placementPolicies } from "./placement.ts";
import { replaceStragglers } from "./stragglers.ts";
import { NO_SUSPECTS, type SuspectList } from "./suspects.ts";
import { clearZoneState, collectHeldReports } from "./takeover.ts";
import type { MembershipTiming } from "./timing.ts";
import { groupsByUrgency, stepGroup } from "./transitions.ts";
import { ViewLog } from "./viewlog.ts";
import { VmRegistry } from "./vmregistry.ts";
import { WeightStoreLimiter, type WeightStoreOptions } from "./weightstorelimiter.ts";
import { type ZoneState } from "./zonestate.ts";
import { sendGauges, type ZoneStats, zoneStatsOf } from "./zonestats.ts";
import { groupViews, recordDrainVersions, reportsFreshUntilMs, serviceViews } from "./zoneviews.ts";

const CONTROL_PERIOD_MS = 100;
const METRICS_PERIOD_MS = 1_000;
// A longer interval means that the process was paused; the state of the zone during the pause isn't known.
const MAX_ACCOUNTED_INTERVAL_MS = 5_000;

export interface ZoneControllerOptions {
    context: Context;
    peers: Peers;
    table: TableState;
    timing: MembershipTiming;
    orders: OrderSender;
    lease: () => Pick<ZoneLease, "isValid" | "fence" | "remainingMs" | "raiseReportedFence">;
    zoneDaemonIds: string[];
    /** All zones, for the exchange of organisation limits. */
    zones: string[];
    /** Default: `bestFit`. */
    placement?: PlacementName;
    weightStore?: WeightStoreOptions;
    /** Default: none. */
    suspects?: SuspectList;
}

/** Forms, loads, repairs and dissolves the replica groups of a zone while this daemon holds the zone's lease. */
export class ZoneController {
    readonly #options: ZoneControllerOptions;
    readonly #lifecycle = new Lifecycle();
    readonly #zone: ZoneState;
    readonly #reconciler: OrderReconciler;
    readonly #exchange: LimitExchange;
    readonly #grantIssuer: GrantIssuer;
    readonly #suspects: SuspectList;
    #pushedSuspectVersion = 0;
    #handover: Handover | undefined;
    #activationId = 0;
    #isActive = false;
    #freshUntilMs = 0;
    #lastAccountedMs = 0;

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
            weightStoreLimiter: new WeightStoreLimiter(options.weightStore),
            placement: placementPolicies[options.placement ?? PlacementName.BestFit],
            stepStartedAtMs: 0,
            adoptionEndsAtMs: 0,
            isHandoverDone: () => this.#handover?.isDone ?? false,
            tableFloor: () => this.#grantIssuer.tableFloor,
        };
        this.#reconciler = new OrderReconciler(this.#zone, options.orders);
        this.#exchange = new LimitExchange({
            zone: context.zone,
            zones: options.zones,
            table,
            grantMs: timing.grantMs,
        });
        const { lease, suspects = NO_SUSPECTS } = options;
        this.#suspects = suspects;
        this.#grantIssuer = new GrantIssuer({
            zone: this.#zone,
            peers,
            exchange: this.#exchange,
            suspects,
            lease,
        });
        peers.handle("report.batch", (request) => this.#handleReportBatch(request));
        peers.handle("grant.renew", (request) => this.#handleGrantRenewal(request));
        peers.handle("vm.drain", (request) => this.#handleVmDrain(request));
        peers.handle("zone.confirmStopped", ({ fence }) => ({
            stopped: !(lease().isValid && lease().fence <= fence)
                && !options.orders.mayHaveInFlight(fence),
        }));
    }

    start(): void {
        const log = this.#options.context.logs(LogPart.Groups);
        const onError = (error: unknown): void =>
            log.error("control step failed", { reason: messageOf(error) });
        this.#lifecycle.every(CONTROL_PERIOD_MS, () => this.#step(), onError);
        this.#lifecycle.every(METRICS_PERIOD_MS, () => this.#sendGauges(), onError);
    }

    async close(): Promise<void> {
        this.deactivate();
        await this.#lifecycle.close();
        await this.#handover?.close();
        await this.#options.orders.close();
    }

    get tableFloor(): number {
        return this.#grantIssuer.tableFloor;
    }

    raiseTableFloor(version: number): void {
        this.#grantIssuer.raiseTableFloor(version);
    }

    /** Takes over the zone: collects the reports that its daemons hold, and adopts the groups that they name. */
    async activate(fence: number, history: LeaseHistory): Promise<void> {
        const activationId = ++this.#activationId;
        const { peers, zoneDaemonIds, timing } = this.#options;
        const { groups, downtime } = this.#zone;
        const startedAtMs = monotonicMs();
        this.#isActive = false;
        clearZoneState(this.#zone);
        void this.#handover?.close();
        this.#handover = new Handover({
            peers,
            zone: this.#options.context.zone,
            fence,
            formerHolderIds: this.#formerHolders(fence, history),
            timeoutMs: timing.unfencedHandoverMs,
        });
        await collectHeldReports({
            zone: this.#zone,
            peers,
            exchange: this.#exchange,
            zoneDaemonIds,
            suspects: this.#suspects,
            onTableVersion: (version) => this.raiseTableFloor(version),
        });
        if (activationId !== this.#activationId) {
            return;
        }
        adoptGroups(this.#zone);
        const uncontrolledS = ((history.idleMs ?? 0) + monotonicMs() - startedAtMs) / 1_000;
        downtime.addDowntime(DowntimeCause.NoController, uncontrolledS * groups.all().length);
        this.#lastAccountedMs = monotonicMs();
        this.#isActive = true;
        this.#step();
    }

    deactivate(): void {
        this.#activationId += 1;
        this.#isActive = false;
    }

    /** Downtime, stranded accelerators and unusable VMs of the zone, for status output. */
    stats(): ZoneStats {
        return zoneStatsOf(this.#zone, this.#isController);
    }

    /** Message on organisation limits for the controllers of other zones; undefined unless this is the controller. */
    exchangeMessage(): ZoneExchange | undefined {
        return this.#isController ? this.#exchange.message() : undefined;
    }

    applyExchange(message: ZoneExchange): void {
        this.#exchange.applyMessage(message);
    }

    get #isController(): boolean {
        return this.#isActive && this.#options.lease().isValid;
    }

    /** Daemons that may have an order in flight: all others of the zone if the acceptors have no full record. */
    #formerHolders(fence: number, history: LeaseHistory): string[] {
        const others = this.#options.zoneDaemonIds.filter((id) => id !== this.#options.peers.daemonId);
        return fence === 1 ? [] : history.formerHolderIds ?? others;
    }

    #handleReportBatch(request: Calls["report.batch"]["request"]): Calls["report.batch"]["response"] {
        const lease = this.#options.lease();
        if (!lease.isValid) {
            return { accepted: false, needFull: [], releasedVmIds: [] };
        }
        const { vms } = this.#zone;
        let startsLeaving = false;
        for (const { report, ageMs } of request.changed) {
            startsLeaving ||= report.leaving && vms.get(report.vmId)?.report.leaving !== true;
            vms.recordReport(report, ageMs);
            if (report.highestFence > lease.fence) {
                lease.raiseReportedFence(report.highestFence);
            }
        }
        const needFull = request.unchanged.filter((entry) => !vms.recordUnchangedReport(entry)).map((
            { vmId },
        ) => vmId);
        if (startsLeaving) {
            this.#step();
        }
        const vmIds = [...request.changed.map(({ report }) => report), ...request.unchanged].map((entry) =>
            entry.vmId
        );
        return { accepted: true, needFull, releasedVmIds: vmIds.filter((vmId) => this.#isReleased(vmId)) };
    }

    /** One control step: updates groups from the reports, sends orders and pushes grants. It runs synchronously. */
    #step(): void {
        if (!this.#isController) {
            return;
        }
        const zone = this.#zone;
        zone.stepStartedAtMs = monotonicMs();
        this.#accountElapsed();
        zone.vms.detectLosses();
        adoptGroups(zone);
        planDrains(zone);
        replaceStragglers(zone);
        for (const group of groupsByUrgency(zone)) {
            stepGroup(zone, group);
        }
        formGroups(zone);
        // Comes after forming, so that groups with a planned drain already have their replacements assigned.
        for (const group of zone.groups.all()) {
            startDrainIfDue(zone, group);
        }
        this.#reconciler.step();
        this.#refreshViews();
        this.#exchange.step(zone.daemons.active());
        this.#pushSuspects();
    }

    #pushSuspects(): void {
        this.#suspects.update(monotonicMs());
        if (this.#suspects.version !== this.#pushedSuspectVersion) {
            this.#pushedSuspectVersion = this.#suspects.version;
            this.#grantIssuer.pushSuspects();
        }
    }

    #accountElapsed(): void {
        const nowMs = monotonicMs();
        this.#zone.downtime.addElapsed(
            this.#zone,
            Math.min(nowMs - this.#lastAccountedMs, MAX_ACCOUNTED_INTERVAL_MS) / 1_000,
        );
        this.#lastAccountedMs = nowMs;
    }

    #refreshViews(): void {
        const zone = this.#zone;
        const targetsBefore = zone.views.dispatchTargets();
        zone.views.update(groupViews(zone), serviceViews(zone));
        recordDrainVersions(zone);
        this.#freshUntilMs = reportsFreshUntilMs(zone);
        for (const group of zone.groups.all()) {
            checkLeavingDeadline(zone, group);
        }
        const targets = zone.views.dispatchTargets();
        if ([...targetsBefore].some((key) => !targets.has(key))) {
            this.#grantIssuer.push();
        }
    }

    #handleGrantRenewal(request: Calls["grant.renew"]["request"]): Calls["grant.renew"]["response"] {
        if (!this.#isController || request.zone !== this.#options.context.zone) {
            return {};
        }
        // A report that the view relies on has become stale since the last step.
        if (monotonicMs() >= this.#freshUntilMs) {
            this.#step();
        }
        return this.#grantIssuer.renew(request);
    }

    #isReleased(vmId: string): boolean {
        const zone = this.#zone;
        const vm = zone.vms.get(vmId);
        const hasLeftGroup = vm !== undefined && vm.report.leaving && this.#isController
            && zone.groups.groupOf(vmId) === undefined && monotonicMs() >= zone.adoptionEndsAtMs;
        return hasLeftGroup
            && (vm.report.service === undefined || isServiceIdle(zone, vm, vm.leavingVersion));
    }

    #handleVmDrain(request: Calls["vm.drain"]["request"]): Calls["vm.drain"]["response"] {
        const { vms, context } = this.#zone;
        if (!this.#isController || vms.get(request.vmId) === undefined) {
            return {};
        }
        const plan = planVmDrain(this.#zone, request);
        if (!request.dryRun) {
            vms.drainedVmIds[request.drain ? "add" : "delete"](request.vmId);
            context.timeline.record("groups", request.drain ? "vm.drained" : "vm.undrained", {
                vmId: request.vmId,
            });
            this.#step();
        }
        return { plan };
    }

    #sendGauges(): void {
        if (this.#isController) {
            sendGauges(this.#zone);
        }
    }
}
