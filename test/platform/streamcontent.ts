/** Text of each event of a stream, and the number of its events. */
export interface StreamContent {
    text: string;
    count: number;
}

/** Parses a request body `TEXT COUNT`, as sent by callers that check the answer. Other bodies get a default text. */
export const parseContent = (body: string, defaultCount: number): StreamContent => {
    const [text = "", count] = body.split(" ");
    return count === undefined ? { text: "piece", count: defaultCount } : { text, count: Number(count) };
};

export const formatEvent = ({ text }: StreamContent, id: number): string =>
    `id: ${id}\ndata: ${text} ${id}\n\n`;

/** Body of the complete stream. */
export const formatStream = (content: StreamContent): string =>
    Array.from({ length: content.count }, (_, index) => formatEvent(content, index + 1)).join("");
