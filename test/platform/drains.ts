import { once } from "node:events";
import type { PlatformFixture } from "./fixtures.ts";

/** Grace period of `startPlatform`. */
export const GRACE_MS = 8_000;
/** The load balancer may send requests for this long after SIGTERM. */
export const LOAD_BALANCER_DELAY_MS = 3_000;

export interface Drain {
    elapsedMs: () => number;
    /** Resolves at a time after SIGTERM. */
    at: (elapsedMs: number) => Promise<void>;
    exited: Promise<{ code: number; elapsedMs: number; }>;
}

/** Sends SIGTERM to the first entry daemon. */
export const startDrain = ({ entry }: PlatformFixture): Drain => {
    const startedAtMs = performance.now();
    const elapsedMs = (): number => performance.now() - startedAtMs;
    const exited = once(entry, "exit").then(([code]) => ({
        code: code as number,
        elapsedMs: elapsedMs(),
    }));
    entry.kill("SIGTERM");
    return {
        elapsedMs,
        exited,
        at: (atMs) => new Promise((resolve) => setTimeout(resolve, Math.max(0, atMs - elapsedMs()))),
    };
};
