const BUCKET_MS = 1_000;
const BUCKET_COUNT = 10;

export interface RetryBudgetOptions {
    /** Allowed retries per request. Default: 0.1. */
    share?: number;
    /** Retries allowed per 10 s regardless of the number of requests. Default: 10. */
    minimum?: number;
    /** Retries allowed per 10 s on top of `share`. Default: 0. */
    slack?: number;
}

/** Limits a daemon's retries over a sliding window of 10 s, so that a fault does not cause a retry storm. */
export class RetryBudget {
    readonly #share: number;
    readonly #minimum: number;
    #slack: number;
    readonly #buckets = Array.from({ length: BUCKET_COUNT }, () => ({ index: -1, requests: 0, retries: 0 }));

    constructor(options: RetryBudgetOptions = {}) {
        this.#share = options.share ?? 0.1;
        this.#minimum = options.minimum ?? 10;
        this.#slack = options.slack ?? 0;
    }

    setSlack(slack: number): void {
        this.#slack = slack;
    }

    countRequest(nowMs: number): void {
        this.#bucketAt(nowMs).requests += 1;
    }

    /** Consumes one retry. Returns false if the budget is exhausted. */
    takeRetry(nowMs: number): boolean {
        const oldest = Math.floor(nowMs / BUCKET_MS) - BUCKET_COUNT;
        const recent = this.#buckets.filter((bucket) => bucket.index > oldest);
        const requests = recent.reduce((sum, bucket) => sum + bucket.requests, 0);
        const retries = recent.reduce((sum, bucket) => sum + bucket.retries, 0);
        if (retries >= Math.max(this.#minimum, requests * this.#share + this.#slack)) {
            return false;
        }
        this.#bucketAt(nowMs).retries += 1;
        return true;
    }

    #bucketAt(nowMs: number): { index: number; requests: number; retries: number; } {
        const index = Math.floor(nowMs / BUCKET_MS);
        const bucket = this.#buckets[index % BUCKET_COUNT] as {
            index: number;
            requests: number;
            retries: number;
        };
        if (bucket.index !== index) {
            Object.assign(bucket, { index, requests: 0, retries: 0 });
        }
        return bucket;
    }
}
