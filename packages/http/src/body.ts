import { ErrorCode, GreengageError, Verdict } from "@greengage/base";
import type { IncomingMessage } from "node:http";

/** Reads a whole request body. Throws `too-large` beyond `limitBytes`. */
export const readBody = async (request: IncomingMessage, limitBytes: number): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > limitBytes) {
            throw new GreengageError(`the body is larger than ${limitBytes} bytes`, {
                code: ErrorCode.TooLarge,
                verdict: Verdict.NotRun,
            });
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** Reads a JSON object. Throws `bad-request` for anything else. */
export const readJson = async (
    request: IncomingMessage,
    limitBytes: number,
): Promise<Record<string, unknown>> => {
    const body = await readBody(request, limitBytes);
    try {
        const value: unknown = JSON.parse(body.toString("utf8"));
        if (typeof value === "object" && !Array.isArray(value) && value) {
            return value as Record<string, unknown>;
        }
    }
    catch {
        // Reported below.
    }
    throw new GreengageError("the body is not a JSON object", {
        code: ErrorCode.BadRequest,
        verdict: Verdict.NotRun,
    });
};
