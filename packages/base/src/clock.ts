/** Milliseconds of the monotonic clock. Steps of the wall clock do not change it. */
export const monotonicMs = (): number => performance.now();
