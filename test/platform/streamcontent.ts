/** Text of each event of a stream, and the number of its events. */
export interface StreamContent {
    text: string;
    count: number;
}

/** Parses a request body `TEXT COUNT`, as sent by callers that check the answer. Other bodies get a default text. */
export const contentOf = (body: string, usualCount: number): StreamContent => {
    const [text = "", count] = body.split(" ");
    return count === undefined ? { text: "piece", count: usualCount } : { text, count: Number(count) };
};

export const eventOf = ({ text }: StreamContent, id: number): string => `id: ${id}\ndata: ${text} ${id}\n\n`;

/** Body of the complete stream. */
export const wholeStream = (content: StreamContent): string =>
    Array.from({ length: content.count }, (_, index) => eventOf(content, index + 1)).join("");
