import { sleep } from "@greengage/base";
import type { Assignment, AssignmentState, VmReport } from "@greengage/protocol";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { request } from "undici";
import { answerJson, Backend, readText } from "./backend.ts";
import { MemberLinks, sendHeartbeats } from "./memberlinks.ts";
import { CrashPhase } from "./options.ts";
import { PrefixCache } from "./prefixcache.ts";

interface ChatRequest {
    model: string;
    messages: unknown[];
    max_tokens?: number;
    greengage?: { resume_text: string; resume_tokens: number; };
}

type Order =
    | { kind: "load"; fence: number; assignment: Assignment; memberUrls?: string[]; }
    | { kind: "release"; fence: number; groupId: string; };

type CurrentAssignment = Assignment & { state: AssignmentState; };

const MEMBER_POLL_MS = 20;
const WEIGHT_STORE_RETRY_MS = 200;

/** Token `index` of the answer to `messages`. It is the same on every engine, so that tests can check answers. */
export const tokenOf = (messages: unknown[], index: number): string => {
    const digest = createHash("sha256").update(JSON.stringify(messages)).digest("hex").slice(0, 8);
    return `${index === 0 ? "" : " "}${digest}-${index}`;
};

/** Stand-in for a model engine on one VM. Rank 0 answers the requests of its group while all members are alive. */
export class ModelEngine extends Backend {
    #assignment: CurrentAssignment | undefined;
    #memberLinks: MemberLinks | undefined;
    readonly #cachedModels = new Set<string>();
    readonly #prefixCache = new PrefixCache(this.options.cachedPrefixes ?? 64);

    protected override async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const handlers: Record<string, () => Promise<void>> = {
            "/orders": () => this.#handleOrder(incoming, response),
            "/v1/chat/completions": () => this.#handleChat(incoming, response),
            "/member": () => sendHeartbeats(incoming, response, () => this.#assignment),
        };
        const path = (incoming.url ?? "/").split("?", 1)[0] ?? "/";
        const handler = handlers[path];
        if (handler === undefined) {
            answerJson(response, 404, {});
            return;
        }
        await handler();
    }

    protected override reportFields(): Pick<VmReport, "kind" | "cachedModels"> & Partial<VmReport> {
        return { kind: "model", cachedModels: [...this.#cachedModels], assignment: this.#assignment };
    }

    override async close(): Promise<void> {
        this.#memberLinks?.close();
        this.#assignment = undefined;
        await super.close();
    }

    async #handleOrder(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const order = JSON.parse(await readText(incoming)) as Order;
        const isOld = order.fence < this.highestFence;
        const refused = isOld && (this.options.checksFencing ?? true);
        const { kind: orderKind, ...fields } = order;
        this.record("order", {
            orderKind,
            ...fields,
            isOld,
            refused,
            heldGroupId: this.#assignment?.groupId,
        });
        if (refused) {
            answerJson(response, 409, { highestFence: this.highestFence });
            return;
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.#memberLinks?.close();
        this.#memberLinks = undefined;
        this.#assignment = undefined;
        if (order.kind === "load") {
            this.#assignment = { ...order.assignment, fence: order.fence, state: "loading" };
            const urls = this.#assignment.rank === 0 ? order.memberUrls ?? [] : [];
            this.#memberLinks = new MemberLinks(this.#assignment, urls, this.agent);
            void this.#load(this.#assignment, this.#memberLinks);
        }
        answerJson(response, 200, {});
    }

    async #load(assignment: CurrentAssignment, members: MemberLinks): Promise<void> {
        if (!this.#cachedModels.has(assignment.model)) {
            await this.#fetchWeights();
        }
        this.#cachedModels.add(assignment.model);
        while (this.#assignment === assignment && !members.isComplete) {
            await sleep(MEMBER_POLL_MS);
        }
        assignment.state = this.behaviour.failsLoads ? "failed" : "ready";
        if (this.#assignment === assignment) {
            const { groupId, generation, state } = assignment;
            this.record("loaded", { groupId, generation, state });
        }
    }

    async #fetchWeights(): Promise<void> {
        const { weightStoreUrl, weightsGb, loadMs } = this.options;
        await sleep((loadMs ?? 300) * this.behaviour.slowdown);
        let isDownloaded = weightStoreUrl === undefined;
        while (!isDownloaded) {
            isDownloaded = await request(`${weightStoreUrl}/weights?gb=${weightsGb ?? 10}`, {
                headersTimeout: 0,
            })
                .then((response) => response.body.dump().then(() => true))
                .catch(() => sleep(WEIGHT_STORE_RETRY_MS).then(() => false));
        }
    }

    async #handleChat(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = String(incoming.headers["x-request-id"]);
        const body = JSON.parse(await readText(incoming)) as ChatRequest;
        const assignment = this.#assignment;
        const isCurrent = assignment?.state === "ready" && assignment.rank === 0
            && assignment.groupId === incoming.headers["x-group-id"]
            && String(assignment.generation) === incoming.headers["x-group-generation"];
        const isWhole = this.#memberLinks?.isComplete ?? false;
        const brokenMs = this.#memberLinks?.incompleteMs ?? 0;
        const resumedTokens = body.greengage?.resume_tokens ?? 0;
        this.record("request", { requestId, isCurrent, isWhole, brokenMs, resumedTokens });
        if (!isCurrent) {
            answerJson(
                response,
                409,
                { error: "not ready as rank 0 of this group and generation" },
                requestId,
            );
            return;
        }
        if (this.#memberLinks?.isBroken) {
            response.destroy();
            return;
        }
        this.#checkResume(body, requestId);
        this.runningRequests += 1;
        try {
            await this.#stream(body, requestId, response, this.#memberLinks as MemberLinks);
        }
        finally {
            this.runningRequests -= 1;
        }
    }

    #checkResume(body: ChatRequest, requestId: string): void {
        const { resume_tokens: count, resume_text: text } = body.greengage
            ?? { resume_tokens: 0, resume_text: "" };
        const expected = Array.from({ length: count }, (_, index) => tokenOf(body.messages, index)).join("");
        if (text !== expected) {
            this.record("badResume", { requestId, text, expected });
        }
    }

    async #stream(
        body: ChatRequest,
        requestId: string,
        response: ServerResponse,
        members: MemberLinks,
    ): Promise<void> {
        const count = body.max_tokens ?? this.options.tokens ?? 16;
        const { slowdown } = this.behaviour;
        const missMs = this.#prefixCache.touch(JSON.stringify(body.messages[0]))
            ? 0
            : this.options.prefixMissMs ?? 0;
        await sleep(((this.options.firstTokenMs ?? 20) + missMs) * slowdown);
        if (!await this.applyAnswerFaults(response)) {
            this.record("lost", { requestId });
            return;
        }
        const content = JSON.stringify(body);
        await this.crashOn(content, CrashPhase.BeforeHead, requestId);
        response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": requestId });
        response.flushHeaders();
        await this.crashOn(content, CrashPhase.AfterHead, requestId);
        const createdS = Math.floor(Date.now() / 1000);
        for (let index = body.greengage?.resume_tokens ?? 0; index < count; index += 1) {
            if (!await this.#waitForMembers(requestId, response, members)) {
                return;
            }
            const chunk = {
                id: requestId,
                object: "chat.completion.chunk",
                created: createdS,
                model: body.model,
                choices: [{ index: 0, delta: { content: tokenOf(body.messages, index) } }],
            };
            response.write(`data: ${JSON.stringify(chunk)}\n\n`);
            await sleep((this.options.tokenGapMs ?? 10) * this.behaviour.slowdown);
        }
        response.end("data: [DONE]\n\n");
        this.record("finished", { requestId });
    }

    /** Waits while a member stalls. Returns false if the stream was cancelled or broken off. */
    async #waitForMembers(
        requestId: string,
        response: ServerResponse,
        members: MemberLinks,
    ): Promise<boolean> {
        while (
            !response.destroyed && members === this.#memberLinks && !members.isBroken && !members.isComplete
        ) {
            await sleep(MEMBER_POLL_MS);
        }
        if (response.destroyed) {
            this.record("cancelled", { requestId });
            return false;
        }
        if (members !== this.#memberLinks || members.isBroken) {
            this.record("broken", { requestId });
            response.destroy();
            return false;
        }
        return true;
    }
}
