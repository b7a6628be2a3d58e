import { monotonicMs, sleep } from "@greengage/base";
import { Progress } from "./output.ts";

const POLL_INTERVAL_MS = 300;

interface PollOptions {
    limitS: number;
    /** Returns a status text, or `undefined` when there is nothing left to wait for. */
    probe: () => Promise<string | undefined>;
}

/** Polls and shows progress on standard error. Returns false when the time limit is reached. */
export const pollWithProgress = async ({ limitS, probe }: PollOptions): Promise<boolean> => {
    const deadlineMs = monotonicMs() + limitS * 1_000;
    const progress = new Progress();
    try {
        for (;;) {
            const status = await probe();
            if (status === undefined) {
                return true;
            }
            progress.show(status);
            if (monotonicMs() >= deadlineMs) {
                return false;
            }
            await sleep(POLL_INTERVAL_MS);
        }
    }
    finally {
        progress.end();
    }
};
