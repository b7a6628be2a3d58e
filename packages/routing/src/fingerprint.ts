import { createHash } from "node:crypto";

/** What identifies the content of a request. A caller that sends it again gives it another id, but not another content. */
export interface RequestContent {
    /** Host or service that `target` belongs to. */
    scope: string;
    /** Name of the organisation; undefined for an anonymous caller. */
    organisation?: string;
    method: string;
    /** Path with query as received. */
    target: string;
    body: Uint8Array;
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that callers can't find two contents with the same one. */
const FINGERPRINT_DIGITS = 32;

/** Fingerprint of a request's content: a digest that may be logged and sent to other daemons in place of the content. */
export const fingerprintOf = ({ scope, organisation, method, target, body }: RequestContent): string =>
    createHash("sha256")
        // JSON keeps the boundaries between the fields.
        .update(JSON.stringify([scope, organisation, method, target]))
        .update("\n")
        .update(body)
        .digest("hex")
        .slice(0, FINGERPRINT_DIGITS);
