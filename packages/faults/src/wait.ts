import { monotonicMs, sleep } from "@greengage/base";

/** Polls until `probe` returns a value. Throws when `limitMs` has passed. */
export const waitFor = async <T>(
    what: string,
    probe: () => T | undefined | Promise<T | undefined>,
    limitMs = 30_000,
): Promise<T> => {
    const untilMs = monotonicMs() + limitMs;
    for (;;) {
        const value = await probe();
        if (value !== undefined) {
            return value;
        }
        if (monotonicMs() > untilMs) {
            throw new Error(`${what} did not happen within ${limitMs} ms`);
        }
        await sleep(50);
    }
};
