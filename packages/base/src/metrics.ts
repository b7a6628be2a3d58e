import { StatsD } from "hot-shots";
import { MetricsRegistry } from "./metricsregistry.ts";

export interface MetricsOptions {
    /** Host of the StatsD server. Without it, metrics aren't sent. */
    host?: string;
    /** Default: 8125. */
    port?: number;
    /** Tags added to every metric, for example the daemon's id. */
    tags?: Record<string, string>;
}

/** Collects metrics for the metrics endpoint and sends them to a StatsD server. See docs/operators/metrics.md. */
export class Metrics {
    readonly #client: StatsD | undefined;
    readonly #registry = new MetricsRegistry();

    constructor(options: MetricsOptions = {}) {
        // Without a server, a hot-shots client would keep every message in memory.
        this.#client = options.host === undefined ? undefined : new StatsD({
            prefix: "greengage.",
            host: options.host,
            port: options.port ?? 8125,
            globalTags: options.tags ?? {},
            maxBufferSize: 1400,
            errorHandler: () => undefined,
        });
    }

    count(name: string, value = 1, tags?: Record<string, string>): void {
        this.#registry.count(name, value, tags);
        this.#client?.increment(name, value, tags);
    }

    gauge(name: string, value: number, tags?: Record<string, string>): void {
        this.#registry.gauge(name, value, tags);
        this.#client?.gauge(name, value, tags);
    }

    durationMs(name: string, value: number, tags?: Record<string, string>): void {
        this.#registry.durationMs(name, value, tags);
        this.#client?.timing(name, value, tags);
    }

    /** All metrics of this process in the Prometheus text format. */
    render(): string {
        return this.#registry.render();
    }

    close(): Promise<void> {
        const client = this.#client;
        return client === undefined
            ? Promise.resolve()
            : new Promise((resolve) => client.close(() => resolve()));
    }
}
