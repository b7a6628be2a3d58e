/** Solves the least-squares problem `rows * x = values` with the normal equations. */
export const leastSquares = (rows: number[][], values: number[]): number[] => {
    const size = rows[0]?.length ?? 0;
    const matrix = Array.from(
        { length: size },
        (_, row) =>
            Array.from(
                { length: size },
                (_, column) => sum(rows.map((features) => (features[row] ?? 0) * (features[column] ?? 0))),
            ),
    );
    const rightSide = Array.from(
        { length: size },
        (_, row) => sum(rows.map((features, index) => (features[row] ?? 0) * (values[index] ?? 0))),
    );
    return solve(matrix, rightSide);
};

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

/** Gauss-Jordan elimination with partial pivoting. A column without a pivot gets 0, since its feature did not vary. */
const solve = (matrix: number[][], rightSide: number[]): number[] => {
    const size = rightSide.length;
    const rows = matrix.map((row, index) => [...row, rightSide[index] ?? 0]);
    const at = (row: number, column: number): number => rows[row]?.[column] ?? 0;
    const pivots: (number | undefined)[] = [];
    let pivotCount = 0;
    for (let column = 0; column < size; column += 1) {
        let best = pivotCount;
        for (let row = pivotCount; row < size; row += 1) {
            best = Math.abs(at(row, column)) > Math.abs(at(best, column)) ? row : best;
        }
        if (pivotCount >= size || Math.abs(at(best, column)) < 1e-9) {
            pivots.push(undefined);
            continue;
        }
        const pivotRow = rows[best] as number[];
        rows[best] = rows[pivotCount] as number[];
        rows[pivotCount] = pivotRow;
        for (let row = 0; row < size; row += 1) {
            if (row !== pivotCount) {
                const factor = at(row, column) / (pivotRow[column] ?? 1);
                rows[row] = (rows[row] as number[]).map((value, index) =>
                    value - factor * (pivotRow[index] ?? 0)
                );
            }
        }
        pivots.push(pivotCount);
        pivotCount += 1;
    }
    return pivots.map((row, column) => row === undefined ? 0 : at(row, size) / at(row, column));
};
