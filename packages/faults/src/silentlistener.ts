import { once } from "node:events";
import { Worker } from "node:worker_threads";

// Workers can't load TypeScript as their main module.
const WORKER_SOURCE = `import("tsx/esm/api").then(({ register }) => {
    register();
    return import(${JSON.stringify(new URL("./silentlistenerworker.ts", import.meta.url).href)});
});`;

/** Takes addresses without accepting connections: new ones hang, as when the network drops all packets. */
export class SilentListener {
    readonly #gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    readonly #worker = new Worker(WORKER_SOURCE, {
        eval: true,
        execArgv: [],
        workerData: this.#gate.buffer,
    });

    /** Waits until the worker can listen. */
    async start(): Promise<void> {
        await once(this.#worker, "message");
        this.#worker.unref();
    }

    /** Listens at addresses that are free. */
    async listen(addresses: readonly { host: string; port: number; }[]): Promise<void> {
        this.#worker.postMessage(addresses);
        await once(this.#worker, "message");
    }

    /** Frees the addresses. Connections that were opened meanwhile are reset. */
    async stop(): Promise<void> {
        const stopped = once(this.#worker, "message");
        Atomics.store(this.#gate, 0, 1);
        Atomics.notify(this.#gate, 0);
        await stopped;
    }

    async close(): Promise<void> {
        Atomics.store(this.#gate, 0, 1);
        Atomics.notify(this.#gate, 0);
        await this.#worker.terminate();
    }
}
