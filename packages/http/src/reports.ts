import { ErrorCode } from "@greengage/base";
import type { ReportResponse } from "@greengage/membership";
import { AssignmentState, BackendKind, type VmReport } from "@greengage/protocol";
import { z } from "zod";
import { readJson } from "./body.ts";
import { notRunError, validateFields } from "./errors.ts";
import { type ExchangeHandler, sendJson } from "./exchange.ts";
import { requireKey } from "./keys.ts";
import type { HttpLimits } from "./limits.ts";

interface ReportsOptions {
    key: string;
    zone: string;
    limits: HttpLimits;
    accept: (report: VmReport) => ReportResponse;
}

const MAX_VMS_PER_GROUP = 64;
/** Leaves room to count on from a reported sequence or generation without reaching the limit of safe integers. */
const MAX_COUNTER = 2 ** 48;
/** Leaves room for the tokens that a zone issues after `MAX_COUNTED_FENCE`. */
const MAX_FENCE = 2 ** 52;

const name = z.string().min(1).max(200);
const count = z.number().int().min(0).max(MAX_COUNTER);
const fence = z.number().int().min(0).max(MAX_FENCE);

/** Whether requests can be sent to this origin. */
const isOrigin = (text: string): boolean => {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    return url !== undefined && /^https?:$/.test(url.protocol) && url.port !== "0" && url.pathname === "/"
        && [url.username, url.password, url.search, url.hash].every((part) => part === "");
};

const assignment = z.looseObject({
    groupId: name,
    generation: count,
    model: name,
    memberVmIds: z.array(name).min(1).max(MAX_VMS_PER_GROUP),
    rank: count,
    fence,
    state: z.enum(AssignmentState),
});

/** Schema of a backend server's report. Unknown fields, sent by newer backend servers, are kept. */
const reportSchema = z.looseObject({
    vmId: name,
    incarnationId: name,
    sequence: count,
    kind: z.enum(BackendKind),
    zone: name,
    fabricDomain: name,
    url: z.string().max(300).refine(isOrigin, "must be an http or https origin with a port above 0"),
    accelerators: count.max(1_024),
    checksFencing: z.boolean(),
    highestFence: fence,
    leaving: z.boolean(),
    cachedModels: z.array(name).max(1_000),
    maxConcurrent: count.max(1_000_000),
    load: z.looseObject({
        runningRequests: count,
        waitingRequests: count,
        kvUsedShare: z.number().min(0).max(1),
        tokenGapMs: z.number().min(0).max(3_600_000),
    }),
    assignment: assignment.optional(),
    service: name.optional(),
}).refine((report) => report.kind !== BackendKind.Service || report.service !== undefined, {
    path: ["service"],
    message: "a report of kind service must name its service",
}).refine(
    ({ assignment: order, vmId }) => order === undefined || order.memberVmIds[order.rank] === vmId,
    { path: ["assignment", "rank"], message: "must be the position of this VM in memberVmIds" },
);

/** Handles `POST /backend/v1/report`. The error for an invalid report names its invalid fields. */
export const reportHandler = (options: ReportsOptions): ExchangeHandler => async (exchange) => {
    const { accept, key, limits, zone } = options;
    requireKey(exchange.request, key);
    const json = await readJson(exchange, { limitBytes: limits.reportBytes, limitMs: limits.bodyMs });
    const report = validateFields(reportSchema, json, ErrorCode.Invalid);
    if (report.zone !== zone) {
        const reason = `must be "${zone}", the zone of this daemon`;
        throw notRunError(ErrorCode.Invalid, `zone: ${reason}`, { fields: [{ field: "zone", reason }] });
    }
    sendJson(exchange, 200, accept(report));
};
