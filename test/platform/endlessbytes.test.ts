import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import { endlessResponses, EndlessServer } from "./endlessserver.ts";
import { PlatformEngine } from "./engine.ts";
import { call, chatHeaders } from "./fixtures.ts";
import { type ServingFixture, startServing } from "./serving.ts";

/** Heap limit of the deploy file. */
const NODE_ARGUMENTS = ["--max-old-space-size=220"];
/** Memory of a process in the site files, above which it is killed. */
const MEMORY_LIMIT_MB = 346;
const CONCURRENT_REQUESTS = 24;

/** Peak of the resident memory of a process. */
const peakMemoryMb = ({ pid }: ChildProcess): number =>
    Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) / 1_024;

const assertSound = (t: ExecutionContext, { entry }: ServingFixture): void => {
    t.is(entry.exitCode ?? undefined, undefined);
    const peakMb = peakMemoryMb(entry);
    t.log(`peak ${Math.round(peakMb)} MB`);
    t.true(peakMb < MEMORY_LIMIT_MB, `peak ${peakMb} MB`);
};

for (const [title, bytes] of Object.entries(endlessResponses)) {
    // Guards against a server whose answers exhaust the memory of an entry daemon, which ends with all its requests.
    test.serial(`an entry daemon survives responses without end: ${title}`, async (t) => {
        const serving = await startServing(t, { nodeArguments: NODE_ARGUMENTS });
        const { callers, control } = serving;
        const faulty = await EndlessServer.start(t, bytes);
        await PlatformEngine.start(t, {
            id: "l2",
            service: "ledger",
            control,
            advertisedAddress: faulty.address,
        });
        // A server that fails is avoided for a while, so all requests are sent at once.
        await waitFor("requests at the faulty server", async () => {
            await Promise.all(
                Array.from(
                    { length: CONCURRENT_REQUESTS },
                    (_, index) =>
                        call(`http://${callers}/read/${index}`, { headers: chatHeaders(`r${index}`) }),
                ),
            );
            return faulty.requestCount > 0 ? true : undefined;
        });
        t.log(`${faulty.requestCount} responses without end`);
        assertSound(t, serving);
        t.is((await call(`http://${callers}/nowhere`, { headers: chatHeaders("end") }))?.status, 404);
    });
}
