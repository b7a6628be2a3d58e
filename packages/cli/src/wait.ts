import { monotonicMs, sleep } from "@greengage/base";
import { Progress } from "./output.ts";

const POLL_MS = 300;

interface WaitOptions {
    limitS: number;
    /** Returns what is missing, or `undefined` when there is nothing to wait for. */
    probe: () => Promise<string | undefined>;
}

/** Polls with progress on standard error. Returns whether the wait ended before its limit. */
export const waitWithProgress = async ({ limitS, probe }: WaitOptions): Promise<boolean> => {
    const untilMs = monotonicMs() + limitS * 1_000;
    const progress = new Progress();
    try {
        for (;;) {
            const missing = await probe();
            if (missing === undefined) {
                return true;
            }
            progress.show(missing);
            if (monotonicMs() >= untilMs) {
                return false;
            }
            await sleep(POLL_MS);
        }
    }
    finally {
        progress.end();
    }
};
