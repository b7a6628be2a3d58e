import type { VmReport } from "@greengage/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerJson, Backend, readText } from "./backend.ts";
import { CrashPhase } from "./options.ts";

/** Stand-in for a ledger: a plain service that records each call as a booking. */
export class LedgerService extends Backend {
    #bookingCount = 0;

    protected override async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = String(incoming.headers["x-request-id"]);
        const body = await readText(incoming);
        this.#bookingCount += 1;
        this.record("action", { requestId, method: incoming.method, path: incoming.url, body });
        const booked = this.#bookingCount;
        await this.crashOn(`${incoming.url}\n${body}`, CrashPhase.BeforeHead, requestId);
        if (await this.applyAnswerFaults(response)) {
            answerJson(response, 200, { booked, by: this.options.vmId, received: body }, requestId);
        }
    }

    protected override reportFields(): Pick<VmReport, "kind" | "cachedModels"> & Partial<VmReport> {
        return { kind: "service", cachedModels: [], service: this.options.service ?? "ledger" };
    }
}
