/** Matches the id field of each server-sent event. */
const EVENT_ID_PATTERN = /(?:^|\n)id: ?([^\r\n]*)/g;
const EVENT_END_PATTERN = /\r?\n\r?\n/;
const COMMENT_PATTERN = /^(:[^\n]*(\n|$)|\r?\n)*$/;

/** Id of the last event in `events` that has one. */
export const lastEventIdOf = (events: Buffer): string | undefined => idsOf(events.toString("latin1")).at(-1);

/** Whether each event in `events`, except comments, has an id that comes after the one before it, the first after `lastEventId`. */
export const continueAfter = (lastEventId: string, events: Buffer): boolean => {
    let previousId = lastEventId;
    for (const event of events.toString("latin1").split(EVENT_END_PATTERN)) {
        if (COMMENT_PATTERN.test(event)) {
            continue;
        }
        const [id, ...others] = idsOf(event);
        if (id === undefined || others.length > 0 || !isAfter(id, previousId)) {
            return false;
        }
        previousId = id;
    }
    return true;
};

const idsOf = (text: string): string[] =>
    [...text.matchAll(EVENT_ID_PATTERN)].map(([, id = ""]) => id.trim());

/** Ids increase. Those that are no numbers can only be told apart. */
const isAfter = (id: string, previousId: string): boolean => {
    const [number, previousNumber] = [Number(id), Number(previousId)];
    return Number.isFinite(number) && Number.isFinite(previousNumber)
        ? number > previousNumber
        : id !== previousId;
};
