import { waitFor } from "@greengage/faults";
import type { Assignment } from "@greengage/protocol";
import { ModelEngine, type StandinOptions, tokenOf } from "@greengage/standins";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";

const startEngine = async (
    t: ExecutionContext,
    vmId: string,
    options: Partial<StandinOptions> = {},
): Promise<ModelEngine> => {
    const defaults = { zone: "zone-a", fabricDomain: "rack-1", daemonUrls: [], key: "key", loadMs: 1 };
    const engine = new ModelEngine({ vmId, ...defaults, ...options });
    await engine.start();
    t.teardown(() => engine.close());
    return engine;
};

const assignmentOf = (rank: number, generation = 1): Omit<Assignment, "fence"> => ({
    groupId: "group-1",
    generation,
    model: "assistant",
    memberVmIds: ["vm-1", "vm-2"],
    rank,
});

const post = async (
    engine: ModelEngine,
    path: string,
    body: object,
    headers: Record<string, string> = {},
): Promise<{ status: number; text: string; }> => {
    const response = await request(`${engine.url}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify(body),
    });
    return { status: response.statusCode, text: await response.body.text() };
};

const sendLoadOrder = (
    engine: ModelEngine,
    fence: number,
    rank: number,
    memberUrls: string[],
    generation = 1,
) => post(engine, "/orders", { kind: "load", fence, assignment: assignmentOf(rank, generation), memberUrls });

const sendChat = (engine: ModelEngine, body: object = {}, generation = 1) =>
    post(engine, "/v1/chat/completions", { messages: ["hello"], max_tokens: 4, ...body }, {
        "x-request-id": "request-1",
        "x-group-id": "group-1",
        "x-group-generation": String(generation),
    });

const startGroup = async (t: ExecutionContext): Promise<ModelEngine[]> => {
    const engines = [await startEngine(t, "vm-1"), await startEngine(t, "vm-2")];
    const urls = engines.map((engine) => engine.url);
    for (const [rank, engine] of engines.entries()) {
        t.is((await sendLoadOrder(engine, 1, rank, urls)).status, 200);
    }
    await waitFor(
        "the group",
        async () => (await sendChat(engines[0] as ModelEngine)).status === 200 || undefined,
    );
    return engines;
};

// Guards against a stand-in that masks violations of P1 by answering although a member of the group is missing.
test("rank 0 answers only while all members are in its generation", async (t) => {
    const [leader, member] = await startGroup(t) as [ModelEngine, ModelEngine];
    t.is((await sendChat(leader, {}, 2)).status, 409);
    const urls = [leader.url, member.url];
    await sendLoadOrder(member, 2, 1, urls, 2);
    await waitFor(
        "the end of the group",
        async () => await sendChat(leader).then(() => undefined, () => true),
    );
    await sendLoadOrder(leader, 2, 0, urls, 2);
    await waitFor(
        "the next generation",
        async () => (await sendChat(leader, {}, 2)).status === 200 || undefined,
    );
    t.is((await sendChat(leader)).status, 409);
});

test("a stream resumes after the tokens that were already delivered", async (t) => {
    const [leader] = await startGroup(t) as [ModelEngine];
    const messages = ["hello"];
    const resumeText = tokenOf(messages, 0) + tokenOf(messages, 1);
    const { text } = await sendChat(leader, { greengage: { resume_text: resumeText, resume_tokens: 2 } });
    t.false(text.includes(`${tokenOf(messages, 1)}"`));
    t.true(text.includes(`${tokenOf(messages, 2)}"`));
    t.true(text.endsWith("data: [DONE]\n\n"));
});

// Guards against stand-ins that reject stale orders of a paused controller although the engine does not check fencing tokens.
test("only engines that check fencing tokens refuse an outdated order", async (t) => {
    const checking = await startEngine(t, "vm-1");
    const ignoring = await startEngine(t, "vm-2", { checksFencing: false });
    for (const [engine, status] of [[checking, 409], [ignoring, 200]] as const) {
        await sendLoadOrder(engine, 5, 0, [engine.url]);
        t.is((await sendLoadOrder(engine, 4, 0, [engine.url], 2)).status, status);
    }
});

test("a lost answer closes the connection after the request has been processed", async (t) => {
    const [leader] = await startGroup(t) as [ModelEngine];
    await post(leader, "/control", { lostShare: 1 });
    await t.throwsAsync(sendChat(leader));
    await post(leader, "/control", { lostShare: 0 });
    t.is((await sendChat(leader)).status, 200);
});
