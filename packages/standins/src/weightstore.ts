import { monotonicMs, sleep } from "@greengage/base";
import { createServer } from "node:http";

export interface WeightStoreOptions {
    port: number;
    /** Total bandwidth of all downloads. */
    gbPerS: number;
}

interface Download {
    remainingGb: number;
    finish: () => void;
}

const TICK_MS = 20;

/** Stand-in for the weight store. Concurrent downloads share a limited bandwidth equally. */
export const runWeightStore = async (options: WeightStoreOptions): Promise<void> => {
    const downloads = new Set<Download>();
    const server = createServer((incoming, response) => {
        const sizeGb = Number(new URL(incoming.url ?? "/", "http://store").searchParams.get("gb") ?? 0);
        const download = { remainingGb: sizeGb, finish: () => response.end("{}") };
        downloads.add(download);
        response.once("close", () => downloads.delete(download));
    });
    await new Promise<void>((resolve) => server.listen(options.port, "127.0.0.1", resolve));
    let lastTickAtMs = monotonicMs();
    for (;;) {
        await sleep(TICK_MS);
        const nowMs = monotonicMs();
        const shareGb = options.gbPerS * (nowMs - lastTickAtMs) / 1000 / Math.max(1, downloads.size);
        lastTickAtMs = nowMs;
        for (const download of downloads) {
            download.remainingGb -= shareGb;
            if (download.remainingGb <= 0) {
                downloads.delete(download);
                download.finish();
            }
        }
    }
};
