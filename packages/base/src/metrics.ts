import { StatsD } from "hot-shots";

export interface MetricsOptions {
    /** StatsD server. Without a host nothing is sent. */
    host?: string;
    /** Default: 8125. */
    port?: number;
    /** Tags on every metric, for example the daemon's id. */
    tags?: Record<string, string>;
}

/** Sends metrics in the StatsD protocol. Names are listed in docs/operators/metrics.md. */
export class Metrics {
    readonly #client: StatsD;

    constructor(options: MetricsOptions = {}) {
        this.#client = new StatsD({
            prefix: "greengage.",
            host: options.host ?? "127.0.0.1",
            port: options.port ?? 8125,
            mock: options.host === undefined,
            globalTags: options.tags ?? {},
            maxBufferSize: 1400,
            errorHandler: () => undefined,
        });
    }

    count(name: string, value = 1, tags?: Record<string, string>): void {
        this.#client.increment(name, value, tags);
    }

    gauge(name: string, value: number, tags?: Record<string, string>): void {
        this.#client.gauge(name, value, tags);
    }

    durationMs(name: string, value: number, tags?: Record<string, string>): void {
        this.#client.timing(name, value, tags);
    }

    close(): Promise<void> {
        return new Promise((resolve) => this.#client.close(() => resolve()));
    }
}
