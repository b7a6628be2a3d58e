/** Percentile of unsorted samples, with `share` from 0 to 1, rounded to one decimal. */
export const percentile = (samples: readonly number[], share: number): number => {
    const sorted = [...samples].sort((a, b) => a - b);
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
    return Math.round(value * 10) / 10;
};

export interface FirstTokenFigures {
    requests: number;
    p50Ms: number;
    p95Ms: number;
    p99Ms: number;
}

export const firstTokenFigures = (samples: readonly number[]): FirstTokenFigures => ({
    requests: samples.length,
    p50Ms: percentile(samples, 0.5),
    p95Ms: percentile(samples, 0.95),
    p99Ms: percentile(samples, 0.99),
});
