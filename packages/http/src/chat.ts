import { type Context, ErrorCode, LogPart, messageOf } from "@greengage/base";
import type { Dispatcher, GenerateRequest } from "@greengage/routing";
import type { OrganisationRow, TableState } from "@greengage/table";
import { z } from "zod";
import type { Admission } from "./admission.ts";
import { readJson } from "./body.ts";
import { CollectingSink } from "./completion.ts";
import { parseDeadlineMs, runWithDeadline } from "./deadline.ts";
import { notRunError, validateFields } from "./errors.ts";
import { disconnectSignal, type Exchange, type ExchangeHandler, sendJson } from "./exchange.ts";
import { interruptionError } from "./interruption.ts";
import type { ApiKeys } from "./keys.ts";
import type { HttpLimits } from "./limits.ts";
import { toGreengageError } from "./problem.ts";
import { ResponseSink } from "./sse.ts";

interface ChatOptions {
    context: Context;
    table: TableState;
    dispatcher: Dispatcher;
    keys: ApiKeys;
    admission: Admission;
    limits: HttpLimits;
}

// Fields that the daemon uses. All other fields are passed to the engine unchanged.
const chatBody = z.looseObject({
    model: z.string().min(1),
    messages: z.array(z.looseObject({ role: z.string() })).min(1),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().min(1).nullish(),
    n: z.number().int().min(1).max(16).nullish(),
    // Reserved: resumed requests use this field to tell the engine what has been delivered.
    greengage: z.undefined({ error: "is reserved" }).optional(),
});

type ChatBody = z.infer<typeof chatBody>;
type Work = (signal: AbortSignal, deadlineAtMs: number) => Promise<void>;

/** Handles `POST /v1/chat/completions`, with and without streaming. */
export const chatHandler = (options: ChatOptions): ExchangeHandler => {
    const { admission, keys, limits, table } = options;
    return async (exchange) => {
        const organisation = keys.authenticate(exchange.request);
        const deadlineMs = parseDeadlineMs(exchange, limits);
        admission.assertEndsInTime(deadlineMs);
        const json = await readJson(exchange, { limitBytes: limits.bodyBytes, limitMs: limits.bodyMs });
        const body = validateFields(chatBody, json, ErrorCode.BadRequest);
        requireEnabledModel(table, body.model);
        const work = createWork(options, exchange, organisation, body);
        const subject = { organisation: organisation.name, row: `model/${body.model}` };
        const disconnected = disconnectSignal(exchange.response);
        const limitsOfWork = { deadlineMs, interrupted: exchange.interruption.signal, disconnected };
        await admission.trackInFlight(subject, () => runWithDeadline(limitsOfWork, work));
    };
};

const requireEnabledModel = (table: TableState, name: string): void => {
    const model = table.model(name);
    if (model === undefined) {
        throw notRunError(ErrorCode.NotFound, `unknown model "${name}"`);
    }
    if (!model.enabled) {
        throw notRunError(ErrorCode.NotFound, `model "${name}" is disabled`);
    }
};

const createWork = (
    options: ChatOptions,
    exchange: Exchange,
    organisation: OrganisationRow,
    body: ChatBody,
): Work => {
    const createRequest = (deadlineAtMs: number, extraBody: object = {}): GenerateRequest => ({
        requestId: exchange.requestId,
        organisation: organisation.name,
        model: body.model,
        body: { ...body, ...extraBody },
        deadlineAtMs,
    });
    return body.stream === true
        ? (signal, deadlineAtMs) => streamCompletion(options, exchange, createRequest(deadlineAtMs), signal)
        : (signal, deadlineAtMs) => {
            // Engines report the usage of a stream only on request.
            const call = createRequest(deadlineAtMs, { stream_options: { include_usage: true } });
            return sendCompletion(options.dispatcher, exchange, call, signal);
        };
};

const streamCompletion = async (
    { context, dispatcher }: ChatOptions,
    exchange: Exchange,
    call: GenerateRequest,
    signal: AbortSignal,
): Promise<void> => {
    const sink = new ResponseSink(exchange, signal);
    try {
        await dispatcher.generate(call, sink, signal);
    }
    catch (error) {
        if (!sink.hasStarted) {
            throw error;
        }
        const failure = exchange.interruption.signal.aborted
            ? interruptionError(error)
            : toGreengageError(error);
        if (!exchange.response.destroyed) {
            const { code, verdict } = failure;
            const fields = { code, verdict, reason: messageOf(error) };
            context.logs(LogPart.Http).warn(`stream ${exchange.requestId} was broken off`, fields);
        }
        sink.fail(failure);
        return;
    }
    sink.end();
};

const sendCompletion = async (
    dispatcher: Dispatcher,
    exchange: Exchange,
    call: GenerateRequest,
    signal: AbortSignal,
): Promise<void> => {
    const sink = new CollectingSink();
    const createdS = Math.floor(Date.now() / 1000);
    try {
        await dispatcher.generate(call, sink, AbortSignal.any([signal, sink.overflow])).finally(() =>
            sink.checkOverflow()
        );
        sendJson(exchange, 200, sink.completion({ model: call.model, requestId: call.requestId, createdS }));
    }
    finally {
        sink.clear();
    }
};

/** Handles `GET /v1/models`. */
export const modelsHandler = ({ keys, table }: ChatOptions): ExchangeHandler => async (exchange) => {
    keys.authenticate(exchange.request);
    const data = table.models().filter((model) => model.enabled)
        .map((model) => ({ id: model.name, object: "model", created: 0, owned_by: "greengage" }));
    sendJson(exchange, 200, { object: "list", data });
};
