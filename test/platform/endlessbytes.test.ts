import { waitFor } from "@greengage/faults";
import test, { type ExecutionContext } from "ava";
import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { endlessResponses, EndlessServer } from "./endlessserver.ts";
import { PlatformEngine } from "./engine.ts";
import { call, callUntil, chatHeaders } from "./fixtures.ts";
import { PROMPT, type ServingFixture, startServing } from "./serving.ts";

/** Heap limit of the deploy file. */
const NODE_ARGUMENTS = ["--max-old-space-size=220"];
/** Memory of a process in the site files, above which it is killed. */
const MEMORY_LIMIT_MB = 346;
const CONCURRENT_REQUESTS = 24;
const BODY_CALLERS = 3;
/** Content of each caller's body; it arrives in pieces of one byte. */
const BODY_BYTES = 700_000;

/** Peak of the resident memory of a process. */
const peakMemoryMb = ({ pid }: ChildProcess): number =>
    Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) / 1_024;

const pay = (callers: string, requestId: string): ReturnType<typeof call> =>
    call(`http://${callers}/pay/${requestId}`, {
        method: "POST",
        body: "amount",
        headers: chatHeaders(requestId),
    });

/** Sends payments one after the other while `load` runs. Returns their statuses. */
const payDuring = async (callers: string, load: Promise<unknown>): Promise<(number | undefined)[]> => {
    const statuses: (number | undefined)[] = [];
    const state = { isRunning: true };
    const ended = load.finally(() => {
        state.isRunning = false;
    });
    while (state.isRunning) {
        statuses.push((await pay(callers, `p${statuses.length}`))?.status);
    }
    await ended;
    return statuses;
};

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

// Guards against a caller whose request exhausts the memory of an entry daemon, which ends with the requests of others.
test.serial("an entry daemon survives bodies of callers in pieces of one byte", async (t) => {
    const serving = await startServing(t, { nodeArguments: NODE_ARGUMENTS });
    const [host = "", port = ""] = serving.callers.split(":");
    const send = (index: number): Promise<void> =>
        new Promise((resolve) => {
            const socket = connect({ host, port: Number(port) });
            const fields = Object.entries({ ...chatHeaders(`b${index}`), "transfer-encoding": "chunked" });
            const lines = fields.map(([name, value]) => `${name}: ${value}`);
            socket.on("error", () => undefined);
            socket.once("close", () => resolve());
            socket.once("data", () => socket.destroy());
            socket.write(["POST /chat/1 HTTP/1.1", ...lines, "", ""].join("\r\n"));
            socket.end(`${"1\r\nx\r\n".repeat(BODY_BYTES)}0\r\n\r\n`);
        });
    const statuses = await payDuring(
        serving.callers,
        Promise.all(Array.from({ length: BODY_CALLERS }, (_, index) => send(index))),
    );
    t.true(statuses.length > 0);
    t.deepEqual(statuses.filter((status) => status !== 200), []);
    assertSound(t, serving);
});

// Guards against servers whose answers to orders exhaust the memory of the leading control daemon.
test.serial("a control daemon survives answers to orders without end", async (t) => {
    const serving = await startServing(t, { nodeArguments: NODE_ARGUMENTS });
    const { control, controlProcess, callers } = serving;
    const bytes = endlessResponses["large chunks"];
    if (bytes === undefined) {
        throw new Error("no such response");
    }
    const faultyServers: EndlessServer[] = [];
    for (const id of ["f1", "f2"]) {
        const faulty = await EndlessServer.start(t, {
            ...bytes,
            start: (requestId) => bytes.start(requestId).replace("200 OK", "202 Accepted"),
        });
        faultyServers.push(faulty);
        await PlatformEngine.start(t, {
            id,
            service: "llm",
            domain: "d1",
            control,
            advertisedAddress: faulty.address,
        });
    }
    await waitFor(
        "orders to the faulty servers",
        () => faultyServers.every(({ requestCount }) => requestCount > 1) ? true : undefined,
    );
    t.true(peakMemoryMb(controlProcess) < MEMORY_LIMIT_MB, `peak ${peakMemoryMb(controlProcess)} MB`);
    t.log(`peak ${Math.round(peakMemoryMb(controlProcess))} MB`);
    await callUntil(200, `http://${callers}/chat/1`, {
        method: "POST",
        body: PROMPT,
        headers: chatHeaders("after"),
    });
    t.is(controlProcess.exitCode ?? undefined, undefined);
});
