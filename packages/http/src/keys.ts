import { ErrorCode } from "@greengage/base";
import type { OrganisationRow, TableState } from "@greengage/table";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { notRunError } from "./errors.ts";

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

const hashKey = (key: string): Buffer => createHash("sha256").update(key).digest();

const parseBearerToken = (request: IncomingMessage): string => {
    const header = request.headers.authorization;
    if (header === undefined) {
        throw notRunError(ErrorCode.Unauthorized, "the authorization header is missing");
    }
    const key = BEARER_PATTERN.exec(header)?.[1];
    if (key === undefined) {
        throw notRunError(ErrorCode.Unauthorized, "the authorization header is not of the form `Bearer KEY`");
    }
    return key;
};

/** Authenticates callers by API key. The index is rebuilt after a change of the table. */
export class ApiKeys {
    readonly #table: TableState;
    #byHash: Map<string, OrganisationRow> | undefined;

    constructor(table: TableState) {
        this.#table = table;
    }

    /** Watches the table until the returned function is called. */
    start(): () => void {
        return this.#table.onChange(() => {
            this.#byHash = undefined;
        });
    }

    /** Returns the organisation of the request's API key. Throws `unauthorized` unless it exists and is enabled. */
    authenticate(request: IncomingMessage): OrganisationRow {
        this.#byHash ??= this.#buildIndex();
        const organisation = this.#byHash.get(hashKey(parseBearerToken(request)).toString("hex"));
        if (organisation === undefined) {
            throw notRunError(ErrorCode.Unauthorized, "the API key is unknown");
        }
        if (!organisation.enabled) {
            throw notRunError(ErrorCode.Unauthorized, `organisation ${organisation.name} is disabled`);
        }
        return organisation;
    }

    #buildIndex(): Map<string, OrganisationRow> {
        const pairs = this.#table.organisations().flatMap((row) =>
            row.apiKeyHashes.map((hash): [string, OrganisationRow] => [hash, row])
        );
        return new Map(pairs);
    }
}

/** Throws `unauthorized` unless the request has this key. Compares in constant time. */
export const requireKey = (request: IncomingMessage, key: string): void => {
    if (!timingSafeEqual(hashKey(parseBearerToken(request)), hashKey(key))) {
        throw notRunError(ErrorCode.Unauthorized, "the key is not valid for this API");
    }
};
