import { sleep } from "@greengage/base";
import type { Assignment, AssignmentState, VmReport } from "@greengage/protocol";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerJson, Backend, readText } from "./backend.ts";

interface ChatRequest {
    model: string;
    messages: unknown[];
    max_tokens?: number;
    greengage?: { resume_text: string; resume_tokens: number; };
}

type Order =
    | { kind: "load"; fence: number; assignment: Assignment; }
    | { kind: "release"; fence: number; groupId: string; };

/** Token `index` of the answer to a conversation. Every engine gives the same tokens, so runs can check answers. */
export const tokenOf = (messages: unknown[], index: number): string => {
    const digest = createHash("sha256").update(JSON.stringify(messages)).digest("hex").slice(0, 8);
    return `${index === 0 ? "" : " "}${digest}-${index}`;
};

/** Stand-in for one VM of a model engine. Rank 0 of a group answers its requests. */
export class ModelEngine extends Backend {
    #assignment: (Assignment & { state: AssignmentState; }) | undefined;
    readonly #cachedModels = new Set<string>();

    protected override async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        if (incoming.url === "/orders") {
            this.#takeOrder(JSON.parse(await readText(incoming)) as Order, response);
            return;
        }
        if (incoming.url === "/v1/chat/completions") {
            await this.#chat(incoming, response);
            return;
        }
        answerJson(response, 404, {});
    }

    protected override reportFields(): Pick<VmReport, "kind" | "cachedModels"> & Partial<VmReport> {
        return { kind: "model", cachedModels: [...this.#cachedModels], assignment: this.#assignment };
    }

    #takeOrder(order: Order, response: ServerResponse): void {
        const isOld = order.fence < this.highestFence;
        this.record("order", { ...order, refused: isOld && (this.options.checksFencing ?? true) });
        if (isOld && (this.options.checksFencing ?? true)) {
            answerJson(response, 409, { highestFence: this.highestFence });
            return;
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        if (order.kind === "release") {
            this.#assignment = undefined;
        }
        else {
            this.#assignment = { ...order.assignment, fence: order.fence, state: "loading" };
            void this.#load(this.#assignment);
        }
        answerJson(response, 200, {});
    }

    async #load(assignment: Assignment & { state: AssignmentState; }): Promise<void> {
        if (!this.#cachedModels.has(assignment.model)) {
            await sleep(this.options.loadMs ?? 300);
        }
        this.#cachedModels.add(assignment.model);
        assignment.state = "ready";
    }

    async #chat(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = String(incoming.headers["x-request-id"]);
        const body = JSON.parse(await readText(incoming)) as ChatRequest;
        const assignment = this.#assignment;
        const isCurrent = assignment?.state === "ready"
            && assignment.groupId === incoming.headers["x-group-id"]
            && String(assignment.generation) === incoming.headers["x-group-generation"];
        this.record("request", { requestId, isCurrent });
        if (!isCurrent) {
            answerJson(response, 409, { error: "another generation" }, requestId);
            return;
        }
        this.runningRequests += 1;
        try {
            await this.#stream(body, requestId, response);
        }
        finally {
            this.runningRequests -= 1;
        }
    }

    async #stream(body: ChatRequest, requestId: string, response: ServerResponse): Promise<void> {
        const count = body.max_tokens ?? this.options.tokens ?? 16;
        response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": requestId });
        await sleep(this.options.firstTokenMs ?? 20);
        for (let index = body.greengage?.resume_tokens ?? 0; index < count; index += 1) {
            if (response.destroyed) {
                this.record("cancelled", { requestId });
                return;
            }
            const chunk = {
                id: requestId,
                choices: [{ index: 0, delta: { content: tokenOf(body.messages, index) } }],
            };
            response.write(`data: ${JSON.stringify(chunk)}\n\n`);
            await sleep(this.options.tokenGapMs ?? 10);
        }
        response.end("data: [DONE]\n\n");
    }
}
