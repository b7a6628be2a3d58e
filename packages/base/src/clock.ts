/** Monotonic clock in milliseconds. Unaffected by adjustments of the wall clock. */
export const monotonicMs = (): number => performance.now();
