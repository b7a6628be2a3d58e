import { ErrorCode } from "@greengage/base";
import type { IncomingMessage } from "node:http";
import { notRunError } from "./errors.ts";
import type { Exchange } from "./exchange.ts";

interface BodyLimits {
    limitBytes: number;
    limitMs: number;
}

const tooLargeError = (limitBytes: number): Error =>
    notRunError(ErrorCode.TooLarge, `the body is larger than ${limitBytes} bytes`);

/** Reads a complete request body. Throws `too-large`, `slow-request` or `cancelled`. */
export const readBody = ({ request }: Exchange, limits: BodyLimits): Promise<Buffer> => {
    if (Number(request.headers["content-length"] ?? 0) > limits.limitBytes) {
        return Promise.reject(tooLargeError(limits.limitBytes));
    }
    return collectBody(request, limits);
};

const collectBody = (request: IncomingMessage, limits: BodyLimits): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        const finish = (settle: () => void): void => {
            clearTimeout(timer);
            request.off("data", onData).off("end", onEnd).off("close", onClose);
            settle();
        };
        const onData = (chunk: Buffer): void => {
            sizeBytes += chunk.length;
            chunks.push(chunk);
            if (sizeBytes > limits.limitBytes) {
                finish(() => reject(tooLargeError(limits.limitBytes)));
            }
        };
        const onEnd = (): void => finish(() => resolve(Buffer.concat(chunks)));
        const onClose = (): void =>
            finish(() => reject(notRunError(ErrorCode.Cancelled, "the connection was closed")));
        const timer = setTimeout(() => {
            const message = `the body did not arrive within ${limits.limitMs} ms`;
            finish(() => reject(notRunError(ErrorCode.SlowRequest, message)));
        }, limits.limitMs);
        request.on("data", onData).on("end", onEnd).on("close", onClose);
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
