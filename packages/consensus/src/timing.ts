/** Durations and limits of the replicated log. */
export interface RaftTiming {
    /** Period of the leader's messages when there is nothing to replicate. */
    heartbeatMs: number;
    /** A voter starts an election after one to two times this time without a leader. */
    electionTimeoutMs: number;
    /** Longest wait for the answer to a message between members. */
    callTimeoutMs: number;
    /** A voter that starts waits this long for all other voters before a majority of answers is enough. */
    identityCheckMs: number;
    /** Time without a leader after which a daemon relies on what its own zone has committed. */
    zoneFallbackMs: number;
    /** Entries between two snapshots. */
    snapshotIntervalEntries: number;
    /** Entries kept behind a snapshot for members that lag. */
    retainedEntries: number;
}

// Elections take about two seconds at most, so an edit during a leader change is in effect within a few seconds.
export const DEFAULT_RAFT_TIMING: RaftTiming = {
    heartbeatMs: 200,
    electionTimeoutMs: 1_000,
    callTimeoutMs: 600,
    identityCheckMs: 2_000,
    zoneFallbackMs: 3_000,
    snapshotIntervalEntries: 2_000,
    retainedEntries: 1_000,
};

/** Payload of one message with entries. */
export const MAX_BATCH_BYTES = 1024 * 1024;
/** Part of a snapshot in one message. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;
/** Proposals that may wait for their commit on the leader. */
export const MAX_PENDING_PROPOSALS = 10_000;
