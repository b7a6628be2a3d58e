/** Levenshtein distance, in which a transposition counts as two edits. */
const editDistance = (from: string, to: string): number => {
    let previous = Array.from({ length: to.length + 1 }, (_, index) => index);
    for (let row = 1; row <= from.length; row += 1) {
        const current = [row];
        for (let column = 1; column <= to.length; column += 1) {
            const substitutionCost = from[row - 1] === to[column - 1] ? 0 : 1;
            const substituted = (previous[column - 1] ?? 0) + substitutionCost;
            const insertedOrDeleted = Math.min(previous[column] ?? 0, current[column - 1] ?? 0) + 1;
            current.push(Math.min(substituted, insertedOrDeleted));
        }
        previous = current;
    }
    return previous[to.length] ?? 0;
};

/** Returns the candidate with the smallest edit distance to a mistyped word, or undefined when none is close. */
export const closestWord = (word: string, candidates: readonly string[]): string | undefined => {
    const ranked = candidates.map((candidate) => ({
        candidate,
        distance: editDistance(word.toLowerCase(), candidate.toLowerCase()),
    })).sort((a, b) => a.distance - b.distance);
    const closest = ranked[0];
    if (closest === undefined || closest.distance > Math.max(2, word.length / 2)) {
        return undefined;
    }
    return closest.candidate;
};
