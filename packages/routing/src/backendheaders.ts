import { LimitStatement, type NamedLimit, parseLimit, UNSTATED_LIMIT } from "./serverlimits.ts";

/** Requests per second that a backend server takes from all daemons together. */
const REQUEST_LIMIT_HEADER = "x-request-limit";

/** Decodes the limit in a response of a backend server. Only a success without a limit ends the former one. */
export const limitOf = (
    status: number,
    headers: Record<string, string | string[] | undefined>,
): NamedLimit => {
    const field = headers[REQUEST_LIMIT_HEADER];
    if (field !== undefined) {
        return parseLimit(field);
    }
    return status < 300 ? { statement: LimitStatement.Unlimited } : UNSTATED_LIMIT;
};
