import { type Context, Lifecycle } from "@greengage/base";
import type { Admission } from "@greengage/http";
import type { TableState } from "@greengage/table";

const GAUGE_PERIOD_MS = 10_000;
const BYTES_PER_MB = 1024 * 1024;

/** Resource usage of the process. */
export interface ProcessStats {
    uptimeS: number;
    rssMb: number;
    /** CPU time since the start, user and system. */
    cpuMs: number;
}

export const processStats = (): ProcessStats => {
    const { user, system } = process.cpuUsage();
    return {
        uptimeS: Math.round(process.uptime()),
        rssMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
        cpuMs: Math.round((user + system) / 1000),
    };
};

/** Sources of a daemon's gauges. */
interface GaugeSources {
    context: Context;
    admission: Admission;
    table: TableState;
    isReady: () => boolean;
    unreachableZoneCount: () => number;
    unknownActionCount: () => number;
}

/** Starts to report a daemon's gauges periodically. */
export const startGauges = (sources: GaugeSources): Lifecycle => {
    const lifecycle = new Lifecycle();
    const { metrics } = sources.context;
    const send = (): void => {
        const { rssMb, cpuMs } = processStats();
        metrics.gauge("process.rss_mb", rssMb);
        metrics.gauge("process.cpu_ms", cpuMs);
        metrics.gauge("http.in_flight", sources.admission.inFlight);
        metrics.gauge("table.version", sources.table.version);
        metrics.gauge("daemon.ready", Number(sources.isReady()));
        metrics.gauge("zones.unreachable", sources.unreachableZoneCount());
        metrics.gauge("actions.unknown", sources.unknownActionCount());
    };
    lifecycle.every(GAUGE_PERIOD_MS, send, () => undefined);
    return lifecycle;
};
