/** Load generator for streams, run as a separate process: `load.ts OPTIONS_JSON`. */
import { monotonicMs, sleep } from "@greengage/base";
import { build, type Histogram } from "hdr-histogram-js";
import { setMaxListeners } from "node:events";
import { Agent, request } from "undici";
import { type LoadOptions, type LoadResult, STARTED_LINE, type StreamTarget } from "./loadoptions.ts";

const MICROSECONDS_PER_MS = 1_000;
const options = JSON.parse(process.argv[2] ?? "{}") as LoadOptions;
const dispatcher = new Agent({ pipelining: 1 });
const firstTokens = build();
const tokenGaps = build();
let isMeasuring = false;
let tokens = 0;
let requests = 0;
let failures = 0;

const record = (histogram: Histogram, durationMs: number): void => {
    if (isMeasuring) {
        histogram.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
    }
};

const countEvents = (chunk: Buffer): number => {
    let count = 0;
    for (let index = chunk.indexOf("\n\n"); index >= 0; index = chunk.indexOf("\n\n", index + 2)) {
        count += 1;
    }
    return count;
};

const readStream = async (target: StreamTarget, body: string): Promise<void> => {
    const startedAtMs = monotonicMs();
    const answer = await request(target.url, {
        method: "POST",
        headers: { "content-type": "application/json", ...target.headers },
        body,
        dispatcher,
    });
    if (answer.statusCode !== 200) {
        await answer.body.dump();
        throw new Error(`unexpected status ${answer.statusCode}`);
    }
    let lastChunkAtMs = 0;
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        const nowMs = monotonicMs();
        record(
            lastChunkAtMs === 0 ? firstTokens : tokenGaps,
            nowMs - (lastChunkAtMs === 0 ? startedAtMs : lastChunkAtMs),
        );
        lastChunkAtMs = nowMs;
        tokens += isMeasuring ? countEvents(chunk) : 0;
    }
    requests += isMeasuring ? 1 : 0;
};

const runStream = async (index: number, signal: AbortSignal): Promise<void> => {
    // Stream starts are spread over the warm-up, so that their ends do not coincide.
    await sleep(options.warmUpMs * 0.8 * index / options.streams, signal);
    for (let turn = index; !signal.aborted; turn += 1) {
        const target = options.targets[turn % options.targets.length] as StreamTarget;
        const body = JSON.stringify({
            model: "assistant",
            stream: true,
            max_tokens: options.maxTokens,
            messages: [{ role: "user", content: `Umbrellas left at kiosk ${index}?` }],
        });
        try {
            await readStream(target, body);
        }
        catch {
            failures += isMeasuring ? 1 : 0;
            await sleep(100, signal);
        }
    }
};

const stop = new AbortController();
setMaxListeners(0, stop.signal);
for (let index = 0; index < options.streams; index += 1) {
    void runStream(index, stop.signal);
}
await sleep(options.warmUpMs);
console.log(STARTED_LINE);
isMeasuring = true;
const startedAtMs = monotonicMs();
await sleep(options.durationMs);
isMeasuring = false;
const elapsedS = (monotonicMs() - startedAtMs) / 1_000;
const percentileMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
const result: LoadResult = {
    firstTokenP50Ms: percentileMs(firstTokens, 50),
    firstTokenP95Ms: percentileMs(firstTokens, 95),
    firstTokenP99Ms: percentileMs(firstTokens, 99),
    betweenTokensP95Ms: percentileMs(tokenGaps, 95),
    tokensPerSecond: Math.round(tokens / elapsedS),
    requests,
    failures,
};
console.log(JSON.stringify(result));
process.exit(0);
