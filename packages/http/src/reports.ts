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

const name = z.string().min(1).max(200);
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const assignment = z.looseObject({
    groupId: name,
    generation: count,
    model: name,
    memberVmIds: z.array(name).min(1).max(MAX_VMS_PER_GROUP),
    rank: count,
    fence: count,
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
    url: z.url({ protocol: /^https?$/ }).max(300),
    accelerators: count.max(1_024),
    checksFencing: z.boolean(),
    highestFence: count,
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
