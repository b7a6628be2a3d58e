import { chunkOf } from "./rawserver.ts";

const lengthOf = (body: string): string => `content-length: ${body.length}\r\n\r\n${body}`;

/** Statuses below those of HTTP. */
const STATUSES = ["000", "001", "050", "099"];

/**
 * Responses with a status that HTTP doesn't have, by a title. `fields` are the lines of the fields of a sound response, each
 * with its line end, and `notRun` is a field that says that the request was not run.
 */
export const responsesWithInvalidStatus = (
    fields: string,
    body: string,
    notRun = "",
): Record<string, string> => {
    const whole = `HTTP/1.1 200 OK\r\n${fields}${lengthOf(body)}`;
    const responses: Record<string, string> = {
        "status 000 without a reason": `HTTP/1.1 000\r\n${fields}${lengthOf(body)}`,
        "status 000 with an empty reason": `HTTP/1.1 000 \r\n${fields}${lengthOf(body)}`,
        "status 000 of HTTP/1.0": `HTTP/1.0 000 Trouble\r\n${fields}${lengthOf(body)}`,
        "status 000 and a close header": `HTTP/1.1 000 Trouble\r\n${fields}connection: close\r\n\r\n${body}`,
        "status 000 without fields": `HTTP/1.1 000 Trouble\r\n\r\n${body}`,
        "status 000 before a sound response": `HTTP/1.1 000 Trouble\r\n\r\n${whole}`,
        "status 000 without a body before a sound response": `HTTP/1.1 000 Trouble\r\n${fields}${
            lengthOf("")
        }${whole}`,
        "status 000 with a sound response as its body": `HTTP/1.1 000 Trouble\r\n${fields}${lengthOf(whole)}`,
        "status 000 that says it was not run": `HTTP/1.1 000 Trouble\r\n${fields}${notRun}${lengthOf(body)}`,
        "a status of two digits": `HTTP/1.1 20 OK\r\n${fields}${lengthOf(body)}`,
        "a status of four digits": `HTTP/1.1 2000 OK\r\n${fields}${lengthOf(body)}`,
        "a status with a letter": `HTTP/1.1 20x OK\r\n${fields}${lengthOf(body)}`,
        "no status": `HTTP/1.1 OK\r\n${fields}${lengthOf(body)}`,
    };
    for (const status of STATUSES) {
        const line = `HTTP/1.1 ${status} Trouble\r\n`;
        responses[`status ${status} and a length`] = `${line}${fields}${lengthOf(body)}`;
        responses[`status ${status} without a length`] = `${line}${fields}\r\n${body}`;
        responses[`status ${status} and chunks`] = `${line}${fields}transfer-encoding: chunked\r\n\r\n${
            chunkOf(body)
        }0\r\n\r\n`;
    }
    return responses;
};

/** Lines that no head may hold, by a title. */
const invalidLines: Record<string, string> = {
    "a blank inside a name": "x bad: 1",
    "a blank before the colon": "x-bad : 1",
    "a tab inside a name": "x\tbad: 1",
    "a tab before the colon": "x-bad\t: 1",
    "a blank before a name": " x-bad: 1",
    "a NUL in a name": "x\x00bad: 1",
    "0x01 in a name": "x\x01bad: 1",
    "0x1f in a name": "x\x1fbad: 1",
    "0x7f in a name": "x\x7fbad: 1",
    "a byte above ASCII in a name": "x\xe9bad: 1",
    "a bracket in a name": "x(bad: 1",
    "an empty name": ": 1",
    "a blank as a name": " : 1",
    "a line without a colon": "x-bad",
    "a bare CR in a name": "x\rbad: 1",
    "a line feed in a name": "x\nbad: 1",
    "a NUL in a value": "x-bad: 1\x002",
    "0x01 in a value": "x-bad: 1\x012",
    "0x7f in a value": "x-bad: 1\x7f2",
    "a bare CR in a value": "x-bad: 1\r2",
    "a blank before the colon of the length": "content-length : 1",
    "a blank before the colon of the coding": "transfer-encoding : chunked",
    "a second length": "content-length: 1",
    "a length beside chunks": "transfer-encoding: chunked",
};

/** Responses with a malformed head or trailer, by a title. `fields` are the lines of the fields of a sound response. */
export const responsesWithInvalidFields = (fields: string, body: string): Record<string, string> => {
    const responses: Record<string, string> = {};
    for (const [title, line] of Object.entries(invalidLines)) {
        responses[`${title} in its first field`] = `HTTP/1.1 200 OK\r\n${line}\r\n${fields}${lengthOf(body)}`;
        responses[`${title} in its last field`] =
            `HTTP/1.1 200 OK\r\n${fields}content-length: ${body.length}\r\n${line}\r\n\r\n${body}`;
        if (!line.includes("content-length") && !line.includes("transfer-encoding")) {
            responses[`${title} in its trailer`] =
                `HTTP/1.1 200 OK\r\n${fields}transfer-encoding: chunked\r\n\r\n${
                    chunkOf(body)
                }0\r\n${line}\r\n\r\n`;
        }
    }
    return responses;
};
