/** Timing and compaction parameters of the replicated log. */
export interface RaftTiming {
    /** Interval between the leader's messages while there is nothing to replicate. */
    heartbeatMs: number;
    /** A voter starts an election after one to two times this time without contact with a leader. */
    electionTimeoutMs: number;
    /** Timeout of a request to another member. */
    callTimeoutMs: number;
    /** A starting voter waits this long for all other voters to verify its identity; after that a majority suffices. */
    identityCheckMs: number;
    /** Time without a leader after which a starting daemon catches up with its own zone instead of the leader. */
    zoneFallbackMs: number;
    /** Applied entries between two snapshots. */
    snapshotIntervalEntries: number;
    /** Entries kept before a snapshot for members that lag behind. */
    retainedEntries: number;
}

/** Elections take about two seconds at most, so an edit during a leader change takes effect within a few seconds. */
export const DEFAULT_RAFT_TIMING: RaftTiming = {
    heartbeatMs: 200,
    electionTimeoutMs: 1_000,
    callTimeoutMs: 600,
    identityCheckMs: 2_000,
    zoneFallbackMs: 3_000,
    snapshotIntervalEntries: 2_000,
    retainedEntries: 1_000,
};

/** Maximum entry payload per message. */
export const MAX_BATCH_BYTES = 1024 * 1024;
/** Maximum snapshot data per message. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;
/** Maximum number of uncommitted proposals on the leader. */
export const MAX_PENDING_PROPOSALS = 10_000;
