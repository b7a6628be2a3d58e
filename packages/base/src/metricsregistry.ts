import { build, type Histogram } from "hdr-histogram-js";

const MAX_DURATION_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [50, 95, 99] as const;

/**
 * Counters, gauges and latency histograms of one process as text: a line `name{tag="value"} number` each.
 * Histograms give their quantiles, sum and count, in milliseconds.
 */
export class MetricsRegistry {
    readonly #counters = new Map<string, number>();
    readonly #gauges = new Map<string, number>();
    readonly #histograms = new Map<string, { histogram: Histogram; sumMs: number; }>();

    count(name: string, value: number, tags?: Record<string, string>): void {
        const key = keyOf(name, tags);
        this.#counters.set(key, (this.#counters.get(key) ?? 0) + value);
    }

    gauge(name: string, value: number, tags?: Record<string, string>): void {
        this.#gauges.set(keyOf(name, tags), value);
    }

    durationMs(name: string, valueMs: number, tags?: Record<string, string>): void {
        const key = keyOf(name, tags);
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
            for (const quantile of QUANTILES) {
                const value = histogram.getValueAtPercentile(quantile);
                lines.push(`${withTag(key, `quantile="${quantile / 100}"`)} ${value}`);
            }
            lines.push(`${withSuffix(key, "_sum")} ${Math.round(sumMs)}`);
            lines.push(`${withSuffix(key, "_count")} ${histogram.totalCount}`);
        }
        return `${lines.sort().join("\n")}\n`;
    }
}

const keyOf = (name: string, tags: Record<string, string> = {}): string => {
    const base = `greengage_${name.replaceAll(/[.-]/g, "_")}`;
    const parts = Object.entries(tags).map(([tag, value]) => `${tag}=${JSON.stringify(value)}`);
    return parts.length === 0 ? base : `${base}{${parts.join(",")}}`;
};

const withTag = (key: string, tag: string): string =>
    key.endsWith("}") ? `${key.slice(0, -1)},${tag}}` : `${key}{${tag}}`;

const withSuffix = (key: string, suffix: string): string => {
    const brace = key.indexOf("{");
    return brace < 0 ? `${key}${suffix}` : `${key.slice(0, brace)}${suffix}${key.slice(brace)}`;
};
