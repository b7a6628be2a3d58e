import { MemberState, type ServerReport } from "@greengage/protocol";
import { z } from "zod";

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
const counter = z.number().int().min(0).max(MAX_COUNTER);
const address = z.string().max(MAX_NAME_CHARACTERS).refine(isAddress, "must be host:port");
const models = z.array(name).max(MAX_MODEL_COUNT);

/** Schema of the report of a backend server that can be used. */
export const serverReportSchema: z.ZodType<ServerReport> = z.object({
    serverId,
    bornMs: counter,
    service: name,
    address,
    zone: name,
    isDraining: z.boolean(),
    slotCount: z.number().int().min(1).max(MAX_SLOT_COUNT),
    sequence: counter,
    fabricDomain: z.string().max(MAX_NAME_CHARACTERS).optional(),
    loadedModels: models,
    stagedModels: models,
    membership: z.object({
        groupName: name,
        epoch: counter,
        rank: z.number().int().min(0).max(MAX_GROUP_SIZE - 1),
        state: z.enum(MemberState),
    }).optional(),
});

/** Text of bounded length that names the invalid fields. */
export const describeIssues = ({ issues }: z.ZodError): string =>
    issues.slice(0, 3).map(({ path, message }) => `${path.join(".")}: ${message}`).join("; ")
        .slice(0, MAX_REASON_CHARACTERS);
