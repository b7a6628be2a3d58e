import { monotonicMs, newId, sleep } from "@greengage/base";
import type { VmReport } from "@greengage/protocol";
import { randomInt } from "node:crypto";
import { appendFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import { type Behaviour, type CrashPhase, DEFAULT_BEHAVIOUR, type StandinOptions } from "./options.ts";

/** Time for a response head to leave the process before it ends. */
const CRASH_DELAY_MS = 20;

/** Base class of the stand-ins: serves HTTP, writes records to a file and reports to the daemons. */
export abstract class Backend {
    readonly options: StandinOptions;
    readonly incarnationId = newId();
    protected readonly behaviour: Behaviour = { ...DEFAULT_BEHAVIOUR };
    /** HTTP client bound to the stand-in's source address. */
    protected readonly agent: Agent;
    readonly #server: Server;
    #isClosed = false;
    #sequence = 0;
    // Spreads the reports of many stand-ins over the daemons, as a load balancer does.
    #nextDaemonIndex = randomInt(1_000);
    protected highestFence = 0;
    protected runningRequests = 0;
    protected isLeaving = false;

    constructor(options: StandinOptions) {
        this.options = options;
        this.agent = new Agent({ connect: { localAddress: options.sourceAddress } });
        this.#server = createServer((incoming, response) => {
            if (this.behaviour.requestLimitPerS !== undefined) {
                response.setHeader("x-request-limit", String(this.behaviour.requestLimitPerS));
            }
            const handling = incoming.url === "/control"
                ? this.#handleControl(incoming, response)
                : this.handle(incoming, response);
            handling.catch(() => response.destroy());
        });
    }

    /** URL at which daemons and other group members reach this stand-in. */
    get url(): string {
        return this.options.announcedUrl ?? this.directUrl;
    }

    get directUrl(): string {
        return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve) =>
            this.#server.listen(this.options.port ?? 0, "127.0.0.1", resolve)
        );
        void this.#runReportLoop();
    }

    /** Closes all connections at once, as a process exit does. */
    async close(): Promise<void> {
        this.#isClosed = true;
        this.#server.closeAllConnections();
        await new Promise<void>((resolve) => this.#server.close(() => resolve()));
        await this.agent.destroy();
    }

    /** Reports that it is leaving. Resolves once a daemon has released it and no request is running. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        while (!await this.#sendReport() || this.runningRequests > 0) {
            await sleep(100);
        }
    }

    protected abstract handle(incoming: IncomingMessage, response: ServerResponse): Promise<void>;

    /** Fields of the report that depend on the kind of stand-in. */
    protected abstract reportFields(): Pick<VmReport, "kind" | "cachedModels"> & Partial<VmReport>;

    async #handleControl(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        Object.assign(this.behaviour, JSON.parse(await readText(incoming)) as Partial<Behaviour>);
        answerJson(response, 200, this.behaviour);
    }

    /** Delays the answer or drops it by closing the connection. Returns false if it was dropped. */
    protected async applyAnswerFaults(response: ServerResponse): Promise<boolean> {
        await sleep(this.behaviour.lateMs);
        if (Math.random() >= this.behaviour.lostShare) {
            return true;
        }
        response.destroy();
        return false;
    }

    /** Ends the process if `text`, the content of a request, contains the text that crashes this stand-in in `phase`. */
    protected async crashOn(text: string, phase: CrashPhase, requestId: string): Promise<void> {
        const crashText = this.options.crashTexts?.[phase];
        if (crashText === undefined || !text.includes(crashText)) {
            return;
        }
        this.record("crashed", { requestId, phase });
        await sleep(CRASH_DELAY_MS);
        process.exit(1);
    }

    protected record(kind: string, fields: object): void {
        if (this.options.recordPath !== undefined) {
            const line = {
                atMs: Date.now(),
                vmId: this.options.vmId,
                incarnationId: this.incarnationId,
                ...fields,
                kind,
            };
            appendFileSync(this.options.recordPath, JSON.stringify(line) + "\n");
        }
    }

    async #runReportLoop(): Promise<void> {
        while (!this.#isClosed) {
            const startedAtMs = monotonicMs();
            await this.#sendReport();
            await sleep(Math.max(0, (this.options.reportMs ?? 1_000) - (monotonicMs() - startedAtMs)));
        }
    }

    async #sendReport(): Promise<boolean> {
        const { options } = this;
        this.#sequence += 1;
        const report: VmReport = {
            vmId: options.vmId,
            incarnationId: this.incarnationId,
            sequence: this.#sequence,
            zone: options.zone,
            fabricDomain: options.fabricDomain,
            url: this.url,
            accelerators: options.accelerators ?? 8,
            checksFencing: options.checksFencing ?? true,
            highestFence: this.highestFence,
            leaving: this.isLeaving,
            maxConcurrent: options.maxConcurrent ?? 32,
            load: {
                runningRequests: this.runningRequests,
                waitingRequests: 0,
                kvUsedShare: 0,
                tokenGapMs: (options.tokenGapMs ?? 10) * this.behaviour.slowdown,
            },
            ...this.reportFields(),
        };
        for (let attempt = 0; attempt < options.daemonUrls.length; attempt += 1) {
            const daemonUrl = options.daemonUrls[this.#nextDaemonIndex % options.daemonUrls.length];
            try {
                const response = await request(`${daemonUrl}/backend/v1/report`, {
                    method: "POST",
                    dispatcher: this.agent,
                    headers: { "content-type": "application/json", authorization: `Bearer ${options.key}` },
                    body: JSON.stringify(report),
                    headersTimeout: 1_000,
                    bodyTimeout: 1_000,
                });
                const answer = await response.body.json() as { released?: boolean; };
                if (response.statusCode === 200) {
                    return answer.released === true;
                }
            }
            catch {
                // Falls through to the next daemon.
            }
            this.#nextDaemonIndex += 1;
        }
        return false;
    }
}

export const readText = async (incoming: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

export const answerJson = (
    response: ServerResponse,
    status: number,
    body: object,
    requestId?: string,
): void => {
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (requestId !== undefined) {
        headers["x-request-id"] = requestId;
    }
    response.writeHead(status, headers);
    response.end(JSON.stringify(body));
};
