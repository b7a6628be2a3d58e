import { requestCulpritId, type UnservedRequest } from "@greengage/protocol";
import { FailureKind } from "./failures.ts";
import { fingerprintOf, type RequestContent } from "./fingerprint.ts";

/** Failures of an exchange that the crash of a backend server can cause. */
export const CRASH_FAILURES: ReadonlySet<FailureKind> = new Set([
    FailureKind.Broken,
    FailureKind.NoEndMarker,
    FailureKind.Stalled,
]);

/** A request by which crashes of backend servers can be explained. */
export interface BlamedRequest {
    /** Row of the table that the request belongs to: `model/NAME` or `service/NAME`. */
    row: string;
    culpritId: string;
}

/** Target of a request: one generation of a group, or one incarnation of a backend server. */
export interface CrashTarget {
    /** Group id, or VM id of a backend server. */
    id: string;
    /** Generation of the group, or incarnation id of the backend server. */
    incarnation: string;
}

/** How far the response to a request had come when its connection failed. */
export type UnservedProgress = Pick<UnservedRequest, "hasHead" | "hasEvents">;

/** Knowledge of the requests that crash backend servers, shared by the daemons of a zone. */
export interface CrashBlame {
    /**
     * Resolves to whether the request is a trial, which must not be sent a second time. Throws an error with code
     * `quarantined` and verdict `notRun` if the request is quarantined and no trial is due.
     */
    admit(request: BlamedRequest): Promise<boolean>;
    isQuarantined(request: BlamedRequest): boolean;
    /** Records the first event of a response. */
    recordServed(request: BlamedRequest): void;
    /** Records a complete response. */
    recordComplete(request: BlamedRequest): void;
    /**
     * Records that a connection failed before the response was complete. Resolves to whether the request may be sent to another
     * server: not if the server has crashed, as another one did under the same request.
     */
    recordFailure(request: BlamedRequest, target: CrashTarget, progress: UnservedProgress): Promise<boolean>;
}

/** Blames no request. */
export const NO_BLAME: CrashBlame = {
    admit: () => Promise.resolve(false),
    isQuarantined: () => false,
    recordServed: () => undefined,
    recordComplete: () => undefined,
    recordFailure: () => Promise.resolve(true),
};

/** Identifies a request by its content, as a caller that sends it again gives it another id. */
export const blamedRequestOf = (row: string, content: Omit<RequestContent, "scope">): BlamedRequest => ({
    row,
    culpritId: requestCulpritId(fingerprintOf({ ...content, scope: row })),
});
