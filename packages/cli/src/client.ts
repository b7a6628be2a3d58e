import { createConnector, messageOf } from "@greengage/base";
import { readFileSync } from "node:fs";
import { Agent, request } from "undici";
import { CommandError, ExitCode, usageError } from "./exit.ts";

const DEFAULT_URL = "http://127.0.0.1:8080";
// Longer than the daemon's time limits for committing an edit and for requests to other daemons.
const TIMEOUT_MS = 20_000;
const CONNECT_TIMEOUT_MS = 10_000;

/** Error codes of Node.js and undici for requests that were never sent to the daemon. */
const NOT_SENT_CODES = [
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
];

/** Problem titles of writes that were rejected without effect. */
const REJECTED_TITLES = ["conflict", "unsafe", "key-reused"];

interface Problem {
    title?: string;
    detail?: string;
    verdict?: string;
}

export interface ClientArgs {
    url?: string;
    "key-file"?: string;
}

/** Client of a daemon's operator API. Errors are thrown as CommandError with the exit code of the command. */
export class OperatorClient {
    readonly #agent = new Agent({ connect: createConnector(CONNECT_TIMEOUT_MS) });
    readonly #url: string;
    readonly #key: string;

    constructor(args: ClientArgs) {
        this.#url = (args.url ?? process.env["GREENGAGE_URL"] ?? DEFAULT_URL).replace(/\/$/, "");
        this.#key = readKey(args["key-file"]);
        if (!URL.canParse(this.#url)) {
            throw usageError(`"${this.#url}" is not a URL`);
        }
    }

    async get<T>(path: string): Promise<T> {
        return await this.#send("GET", path) as T;
    }

    async post<T>(path: string, body: object): Promise<T> {
        return await this.#send("POST", path, body) as T;
    }

    async #send(method: "GET" | "POST", path: string, body?: object): Promise<unknown> {
        let status: number;
        let json: unknown;
        try {
            const response = await request(`${this.#url}/operator/v1/${path}`, {
                dispatcher: this.#agent,
                method,
                headers: { authorization: `Bearer ${this.#key}`, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                headersTimeout: TIMEOUT_MS,
                bodyTimeout: TIMEOUT_MS,
            });
            status = response.statusCode;
            json = await response.body.json();
        }
        catch (error) {
            throw this.#connectionError(error, method);
        }
        if (status >= 400) {
            throw createResponseError(json as Problem, method);
        }
        return json;
    }

    #connectionError(error: unknown, method: "GET" | "POST"): CommandError {
        const code = (error as { code?: string; }).code ?? "";
        const reason = messageOf(error) || code;
        if (method === "GET" || NOT_SENT_CODES.includes(code)) {
            return new CommandError(`no response from ${this.#url}: ${reason}`, ExitCode.Failed);
        }
        const message =
            `no response from ${this.#url}: ${reason}. The outcome is unknown: send it again with the same id`;
        return new CommandError(message, ExitCode.OutcomeUnknown);
    }
}

const createResponseError = (problem: Problem, method: "GET" | "POST"): CommandError => {
    const message = problem.detail ?? "the daemon responded with an error";
    if (REJECTED_TITLES.includes(problem.title ?? "")) {
        return new CommandError(message, ExitCode.Rejected, problem.title);
    }
    if (method === "POST" && problem.verdict !== "notRun") {
        const advice = "The outcome is unknown: send it again with the same id";
        return new CommandError(`${message}. ${advice}`, ExitCode.OutcomeUnknown);
    }
    return new CommandError(message, ExitCode.Failed, problem.title);
};

const readKey = (argument: string | undefined): string => {
    const path = argument ?? process.env["GREENGAGE_KEY_FILE"];
    const key = path === undefined ? process.env["GREENGAGE_KEY"] : readFile(path);
    if (key === undefined || key.trim() === "") {
        throw usageError("no operator key: set --key-file, GREENGAGE_KEY_FILE or GREENGAGE_KEY");
    }
    return key.trim();
};

/** Reads a text file. Throws a usage error when it can't be read. */
export const readFile = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        throw usageError(`failed to read ${path}: ${messageOf(error)}`);
    }
};
