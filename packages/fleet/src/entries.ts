import type { Context } from "@greengage/base";
import {
    type FleetView,
    type GroupRecord,
    type GroupRecords,
    type GroupTarget,
    type MemberRecord,
    MemberState,
    type ServerReport,
    type ServerTarget,
    type Suspect,
    type SuspectRecord,
} from "@greengage/protocol";
import { z } from "zod";
import { MAX_EPOCH } from "./epochs.ts";
import { GroupPhase } from "./group.ts";
import { MAX_START_MS } from "./starttime.ts";

const MAX_NAME_CHARACTERS = 256;
/** Leaves room to count on without reaching the limit of safe integers. */
const MAX_COUNTER = 2 ** 48;
const MAX_SLOT_COUNT = 1_000_000;
const MAX_GROUP_SIZE = 1_024;
const MAX_MODEL_COUNT = 1_000;
const MAX_PORT = 65_535;
/** Limit of the reason in a log line, because an invalid entry can be of any size. */
const MAX_REASON_CHARACTERS = 300;

const HOST_AND_PORT = /^(?:[A-Za-z0-9][A-Za-z0-9._-]*|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/;

/** Whether requests can be sent to `address`, in the form `host:port`. */
const isAddress = (address: string): boolean => {
    const port = Number(HOST_AND_PORT.exec(address)?.[1]);
    return port >= 1 && port <= MAX_PORT && URL.canParse(`http://${address}`);
};

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
/** Ids are sent in headers. */
const serverId = name.regex(/^[\x21-\x7e]+$/);
const slotCount = z.number().int().min(1).max(MAX_SLOT_COUNT);
const counter = z.number().int().min(0).max(MAX_COUNTER);
const epoch = z.number().int().min(0).max(MAX_EPOCH);
const address = z.string().max(MAX_NAME_CHARACTERS).refine(isAddress, "must be host:port");
const models = z.array(name).max(MAX_MODEL_COUNT);

/** Schema of the report of a backend server that can be used. */
export const serverReportSchema: z.ZodType<ServerReport> = z.object({
    serverId,
    bornMs: counter.max(MAX_START_MS),
    service: name,
    address,
    zone: name,
    isDraining: z.boolean(),
    slotCount,
    sequence: counter,
    fabricDomain: z.string().max(MAX_NAME_CHARACTERS).optional(),
    loadedModels: models,
    stagedModels: models,
    membership: z.object({
        groupName: name,
        epoch,
        rank: z.number().int().min(0).max(MAX_GROUP_SIZE - 1),
        state: z.enum(MemberState),
    }).optional(),
});

const serverTargetSchema: z.ZodType<ServerTarget> = z.object({
    serverId,
    service: name,
    address,
    zone: name,
    slotCount,
    bornMs: counter.optional(),
});

const groupFields = { groupName: name, epoch, service: name, model: z.string(), zone: name };

const groupTargetSchema: z.ZodType<GroupTarget> = z.object({
    ...groupFields,
    headId: serverId,
    headAddress: address,
    bornMs: counter.optional(),
});

const memberRecordSchema: z.ZodType<MemberRecord> = z.object({
    // Empty for a head that has not reported.
    serverId: z.literal("").or(serverId),
    bornMs: counter,
    address: z.literal("").or(address),
    sequence: counter,
    hasUnansweredJoin: z.boolean().optional(),
});

const groupRecordSchema: z.ZodType<GroupRecord> = z.object({
    ...groupFields,
    fabricDomain: z.string(),
    headAddress: z.literal("").or(address),
    members: z.array(memberRecordSchema).max(MAX_GROUP_SIZE),
    phase: z.enum(GroupPhase),
    hasUnansweredOpen: z.boolean().optional(),
});

const controllerSchema: z.ZodType<FleetView["controllers"][number]> = z.object({
    daemonId: name,
    zone: z.string(),
});

const suspectPartSchema: z.ZodType<Pick<SuspectRecord, "service" | "partId" | "crashedEpochs">> = z
    .object({
        service: name,
        partId: z.string(),
        // Crashes of plain servers have names.
        crashedEpochs: z.array(z.union([epoch, name])),
    });

const viewSuspectSchema: z.ZodType<Suspect> = z.object({
    service: name,
    partId: z.string(),
    isQuarantined: z.boolean(),
    isTrialDue: z.boolean(),
    trialDelayMs: z.number(),
});

const recordsSchema = z.object({ version: counter, entryDaemonCount: counter.min(1) });
const viewSchema = recordsSchema.extend({ term: counter });

/**
 * Returns the entries that match the schema, and logs the others. Entries of newer daemons may have more fields. Throws
 * a TypeError if there is no list.
 */
const validEntries = <T>(
    { context, source }: EntrySource,
    kind: string,
    schema: z.ZodType,
    entries: unknown,
): T[] => {
    if (!Array.isArray(entries)) {
        throw new TypeError(`the entries of kind ${kind} are no list`);
    }
    return entries.filter((entry): entry is T => {
        const { error } = schema.safeParse(entry);
        if (error !== undefined) {
            context.decisions.record("entry.invalid", { source, kind, reason: describeIssues(error) });
        }
        return error === undefined;
    });
};

/** Where entries come from, for the log. */
export interface EntrySource {
    context: Context;
    /** Id of the daemon that sent them, or the name of the file. */
    source: string;
}

/** Returns the usable reports, and logs the others. */
export const validReports = (origin: EntrySource, reports: unknown): ServerReport[] =>
    validEntries(origin, "report", serverReportSchema, reports);

/** Returns the view without the entries that can't be used, which are logged. Throws if the whole view can't be used. */
export const validView = (origin: EntrySource, view: FleetView): FleetView => {
    viewSchema.parse(view);
    return {
        ...view,
        groups: validEntries(origin, "group", groupTargetSchema, view.groups),
        servers: validEntries(origin, "server", serverTargetSchema, view.servers),
        controllers: validEntries(origin, "controller", controllerSchema, view.controllers),
        ...(view.suspectParts === undefined
            ? {}
            : { suspectParts: validEntries(origin, "suspect", viewSuspectSchema, view.suspectParts) }),
    };
};

/** Returns the records without the entries that can't be used, which are logged. Throws if no part of them can be used. */
export const validRecords = (origin: EntrySource, records: GroupRecords): GroupRecords => {
    recordsSchema.parse(records);
    return {
        ...records,
        groups: validEntries(origin, "group record", groupRecordSchema, records.groups),
        endedNames: validEntries(origin, "ended name", name, records.endedNames),
        servers: validEntries(origin, "server", serverTargetSchema, records.servers),
        suspectParts: validEntries(origin, "suspect part", suspectPartSchema, records.suspectParts ?? []),
    };
};

/** Text of bounded length that names the invalid fields. */
export const describeIssues = ({ issues }: z.ZodError): string =>
    issues.slice(0, 3).map(({ path, message }) => `${path.join(".")}: ${message}`).join("; ")
        .slice(0, MAX_REASON_CHARACTERS);
