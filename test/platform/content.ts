/** Text and number of events of a stream. */
export interface Content {
    text: string;
    count: number;
}

/** What a stream says. A caller that checks its answer sends `TEXT COUNT`. */
export const contentOf = (body: string, usualCount: number): Content => {
    const [text = "", count] = body.split(" ");
    return count === undefined ? { text: "piece", count: usualCount } : { text, count: Number(count) };
};

export const eventOf = ({ text }: Content, id: number): string => `id: ${id}\ndata: ${text} ${id}\n\n`;

/** The whole answer of a stream. */
export const wholeStream = (content: Content): string =>
    Array.from({ length: content.count }, (_, index) => eventOf(content, index + 1)).join("");
