import { build, type Histogram } from "hdr-histogram-js";

const MAX_DURATION_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 95, 99] as const;

/**
 * Collects the counters, gauges and latency histograms of one process and renders them in the Prometheus text format.
 * Histograms are rendered as quantiles, sum and count, in milliseconds.
 */
export class MetricsRegistry {
    readonly #counters = new Map<string, number>();
    readonly #gauges = new Map<string, number>();
    readonly #histograms = new Map<string, { histogram: Histogram; sumMs: number; }>();

    count(name: string, value: number, tags?: Record<string, string>): void {
        const key = seriesKey(name, tags);
        this.#counters.set(key, (this.#counters.get(key) ?? 0) + value);
    }

    gauge(name: string, value: number, tags?: Record<string, string>): void {
        this.#gauges.set(seriesKey(name, tags), value);
    }

    durationMs(name: string, valueMs: number, tags?: Record<string, string>): void {
        const key = seriesKey(name, tags);
        let entry = this.#histograms.get(key);
        if (entry === undefined) {
            const histogram = build({
                highestTrackableValue: MAX_DURATION_MS,
                numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
                bitBucketSize: 32,
            });
            entry = { histogram, sumMs: 0 };
            this.#histograms.set(key, entry);
        }
        entry.histogram.recordValue(Math.max(1, Math.min(MAX_DURATION_MS, Math.round(valueMs))));
        entry.sumMs += valueMs;
    }

    render(): string {
        const lines = [...this.#counters, ...this.#gauges].map(([key, value]) => `${key} ${value}`);
        for (const [key, { histogram, sumMs }] of this.#histograms) {
            for (const percentile of PERCENTILES) {
                const value = histogram.getValueAtPercentile(percentile);
                lines.push(`${withTag(key, `quantile="${percentile / 100}"`)} ${value}`);
            }
            lines.push(`${withSuffix(key, "_sum")} ${Math.round(sumMs)}`);
            lines.push(`${withSuffix(key, "_count")} ${histogram.totalCount}`);
        }
        return `${lines.sort().join("\n")}\n`;
    }
}

const seriesKey = (name: string, tags: Record<string, string> = {}): string => {
    const metricName = `greengage_${name.replaceAll(/[.-]/g, "_")}`;
    const labels = Object.entries(tags).map(([tag, value]) => `${tag}=${JSON.stringify(value)}`);
    return labels.length === 0 ? metricName : `${metricName}{${labels.join(",")}}`;
};

const withTag = (key: string, tag: string): string =>
    key.endsWith("}") ? `${key.slice(0, -1)},${tag}}` : `${key}{${tag}}`;

const withSuffix = (key: string, suffix: string): string => {
    const braceIndex = key.indexOf("{");
    return braceIndex < 0
        ? `${key}${suffix}`
        : `${key.slice(0, braceIndex)}${suffix}${key.slice(braceIndex)}`;
};
