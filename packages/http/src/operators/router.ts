import { ErrorCode } from "@greengage/base";
import { notRunError } from "../errors.ts";
import { createProblem, toGreengageError } from "../problem.ts";
import { actionsHandler, settleHandler } from "./actions.ts";
import type { OperatorApi, OperatorRequest, OperatorResponse } from "./api.ts";
import { drainHandler, undrainHandler } from "./drains.ts";
import { editHandler, historyHandler, importHandler, tableHandler } from "./edits.ts";
import { daemonsHandler, ownTimelineHandler, statusHandler, timelineHandler } from "./fleet.ts";
import { ok } from "./requests.ts";

export type OperatorHandler = (api: OperatorApi, request: OperatorRequest) => Promise<OperatorResponse>;

/** Handlers by path relative to `/operator/v1/` and by method. */
const handlers: Record<string, Partial<Record<string, OperatorHandler>>> = {
    status: { GET: statusHandler },
    table: { GET: tableHandler, POST: editHandler },
    "table/history": { GET: historyHandler },
    "table/export": { GET: tableHandler },
    "table/import": { POST: importHandler },
    groups: { GET: async (api) => ok({ groups: api.groups(), services: api.services() }) },
    daemons: { GET: daemonsHandler },
    drain: { POST: drainHandler },
    undrain: { POST: undrainHandler },
    timeline: { GET: timelineHandler },
    actions: { GET: actionsHandler },
    "actions/settle": { POST: settleHandler },
    // Requests between daemons.
    daemon: { GET: async (api) => ok(api.summary()) },
    "in-flight": { GET: async (api) => ok(api.admission.inFlightByRow()) },
    "timeline/own": { GET: ownTimelineHandler },
};

/** Routes operator requests received by HTTP or from another daemon to their handlers. */
export class OperatorRouter {
    readonly #api: OperatorApi;

    constructor(api: OperatorApi) {
        this.#api = api;
    }

    /** Never throws: errors are returned as problem documents. */
    async handle(request: OperatorRequest): Promise<OperatorResponse> {
        try {
            return await this.#run(request);
        }
        catch (error) {
            const problem = createProblem(toGreengageError(error));
            return { status: problem.status, body: problem };
        }
    }

    async #run(request: OperatorRequest): Promise<OperatorResponse> {
        const path = request.path.split("?", 1)[0] ?? "";
        const byMethod = Object.hasOwn(handlers, path) ? handlers[path] : undefined;
        if (byMethod === undefined) {
            throw notRunError(ErrorCode.NotFound, `no path /operator/v1/${path}`);
        }
        const handler = byMethod[request.method];
        if (handler === undefined) {
            const allowed = Object.keys(byMethod).join(", ");
            const message =
                `method ${request.method} is not allowed on /operator/v1/${path}; allowed: ${allowed}`;
            throw notRunError(ErrorCode.MethodNotAllowed, message);
        }
        return await handler(this.#api, request);
    }
}
