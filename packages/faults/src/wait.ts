import { monotonicMs, sleep } from "@greengage/base";

/** Polls `probe` until it returns a value other than undefined. Throws after `limitMs`. */
export const waitFor = async <T>(
    description: string,
    probe: () => T | undefined | Promise<T | undefined>,
    limitMs = 30_000,
): Promise<T> => {
    const deadlineMs = monotonicMs() + limitMs;
    for (;;) {
        const value = await probe();
        if (value !== undefined) {
            return value;
        }
        if (monotonicMs() > deadlineMs) {
            throw new Error(`timed out after ${limitMs} ms while waiting for ${description}`);
        }
        await sleep(50);
    }
};
