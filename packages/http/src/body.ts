import { BufferRefusal, ByteBuffer, ErrorCode, NO_MEMORY_RETRY_AFTER_MS, Verdict } from "@greengage/base";
import { notRunError } from "./errors.ts";
import type { Exchange } from "./exchange.ts";
import { shutdownError } from "./interruption.ts";

interface BodyLimits {
    limitBytes: number;
    limitMs: number;
}

const tooLargeError = (limitBytes: number): Error =>
    notRunError(ErrorCode.TooLarge, `the body is larger than ${limitBytes} bytes`);

const errorByRefusal: Record<BufferRefusal, (limitBytes: number) => Error> = {
    [BufferRefusal.TooLarge]: tooLargeError,
    [BufferRefusal.NoMemory]: () =>
        notRunError(ErrorCode.NoCapacity, "the body exceeds the memory left for it", {
            retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
        }),
};

/**
 * Reads a complete request body, whose memory is held until the response has ended. Throws `too-large`, `no-capacity`,
 * `slow-request`, `draining` or `cancelled`.
 */
export const readBody = (exchange: Exchange, limits: BodyLimits): Promise<Buffer> => {
    if (Number(exchange.request.headers["content-length"] ?? 0) > limits.limitBytes) {
        return Promise.reject(tooLargeError(limits.limitBytes));
    }
    return collectBody(exchange, limits);
};

const collectBody = ({ request, response, interruption }: Exchange, limits: BodyLimits): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const received = new ByteBuffer(limits.limitBytes);
        response.once("close", () => received.clear());
        const finish = (settle: () => void): void => {
            clearTimeout(timer);
            request.off("data", onData).off("end", onEnd).off("close", onClose);
            interruption.signal.removeEventListener("abort", onInterrupted);
            settle();
        };
        const onData = (chunk: Buffer): void => {
            const refusal = received.append(chunk);
            if (refusal !== undefined) {
                finish(() => reject(errorByRefusal[refusal](limits.limitBytes)));
            }
        };
        const onEnd = (): void => finish(() => resolve(received.bytes));
        const onClose = (): void =>
            finish(() => reject(notRunError(ErrorCode.Cancelled, "the connection was closed")));
        const onInterrupted = (): void => finish(() => reject(shutdownError(Verdict.NotRun)));
        const timer = setTimeout(() => {
            const message = `the body did not arrive within ${limits.limitMs} ms`;
            finish(() => reject(notRunError(ErrorCode.SlowRequest, message)));
        }, limits.limitMs);
        request.on("data", onData).on("end", onEnd).on("close", onClose);
        interruption.signal.addEventListener("abort", onInterrupted, { once: true });
        if (interruption.signal.aborted) {
            onInterrupted();
        }
    });

/** Reads a JSON object. Throws `unsupported-media-type` or `bad-request` for anything else. */
export const readJson = async (exchange: Exchange, limits: BodyLimits): Promise<Record<string, unknown>> => {
    const mediaType = (exchange.request.headers["content-type"] ?? "").split(";", 1)[0]?.trim().toLowerCase();
    if (mediaType !== "application/json") {
        const found = mediaType === "" ? "missing" : `"${mediaType}"`;
        const message = `the content-type must be application/json, but it is ${found}`;
        throw notRunError(ErrorCode.UnsupportedMediaType, message);
    }
    const body = await readBody(exchange, limits);
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch (error) {
        throw notRunError(ErrorCode.BadRequest, `the body is not JSON: ${(error as Error).message}`);
    }
    if (typeof value !== "object" || Array.isArray(value) || !value) {
        throw notRunError(ErrorCode.BadRequest, "the body is not a JSON object");
    }
    return value as Record<string, unknown>;
};
