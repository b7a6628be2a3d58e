import { RouteKind } from "@greengage/configuration";
import type { Relays } from "@greengage/routing";
import type { ExecutionContext } from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import { createGateway, type GatewayFixture } from "./fixtures.ts";

/** Time limit of the routes; longer than any response that ends by a size limit takes. */
export const ROUTE_TIMEOUT_MS = 4_000;

/** Kinds of request by what may be repeated. */
export const RequestKind = {
    Safe: "a safe request",
    Unsafe: "an unsafe request",
    Stream: "a stream",
    /** Its route doesn't allow resumption, so it runs at most once. */
    SingleStream: "a stream that may not be resumed",
} as const;

export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

export const allKinds = Object.values(RequestKind);
export const callKinds: readonly RequestKind[] = [RequestKind.Safe, RequestKind.Unsafe];
export const streamKinds: readonly RequestKind[] = [RequestKind.Stream, RequestKind.SingleStream];
export const repeatableKinds: ReadonlySet<RequestKind> = new Set([RequestKind.Safe, RequestKind.Stream]);

export const requestFields: Record<RequestKind, Parameters<GatewayFixture["send"]>[0]> = {
    [RequestKind.Safe]: { target: "/read/1", generation: undefined },
    [RequestKind.Unsafe]: { target: "/pay/1", generation: undefined },
    [RequestKind.Stream]: { target: "/chat/1" },
    [RequestKind.SingleStream]: { target: "/once/1" },
};

/** Creates a gateway with a route for each kind of request; the servers also are the heads of the groups. */
export const createFixture = (
    t: ExecutionContext,
    servers: readonly { address: string; }[],
    timeoutMs = ROUTE_TIMEOUT_MS,
    relays?: Relays,
): GatewayFixture => {
    const targets = servers.map(({ address }) => ({ address, received: [], abortedCount: 0 }));
    const plain = { shares: [{ service: "ledger", weight: 1 }], canResume: false, timeoutMs };
    return createGateway(t, {
        groupHeads: targets,
        servers: targets,
        relays,
        configuration: {
            routes: [
                buildRoute({ ...plain, name: "read", pathPrefix: "/read/", kind: RouteKind.Safe }),
                buildRoute({ ...plain, name: "pay", pathPrefix: "/pay/", kind: RouteKind.Unsafe }),
                buildRoute({ timeoutMs }),
                buildRoute({ name: "once", pathPrefix: "/once/", canResume: false, timeoutMs }),
            ],
        },
    });
};
