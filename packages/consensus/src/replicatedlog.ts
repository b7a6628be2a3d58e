/** A command in the replicated log. The part of `type` before the dot selects the state machine that applies it. */
export interface Command {
    type: string;
}

/** Deterministic state machine. All daemons apply the same committed commands in the same order. */
export interface StateMachine {
    /** Must be deterministic: no clock, randomness or I/O. */
    apply(index: number, command: Command): unknown;
    snapshot(): Uint8Array;
    restore(snapshot: Uint8Array): void;
}

export const LogRole = {
    Leader: "leader",
    Follower: "follower",
    Candidate: "candidate",
    Learner: "learner",
} as const;

export type LogRole = typeof LogRole[keyof typeof LogRole];

export interface LogStatus {
    role: LogRole;
    leaderId: string | undefined;
    term: number;
    commitIndex: number;
    appliedIndex: number;
    firstLogIndex: number;
    /** Undefined on a daemon without a data folder. */
    memberId?: string;
    /** Daemon ids of the voters in the latest configuration that this daemon knows. */
    voterIds?: string[];
    /** Daemon that a learner fetches entries from. */
    parentId?: string;
    isCurrent: boolean;
    /**
     * Time since the last message from the leader; 0 on the leader itself, Infinity if there was none or a full disk
     * keeps this daemon behind the leader.
     */
    leaderContactAgeMs: number;
    /** Daemons that have asked this leader to become voters. */
    joiningIds: string[];
    /** Whether the disk of the data folder is full, so that this daemon neither leads, votes nor stores entries. */
    isDiskFull: boolean;
}

export interface TimeoutOptions {
    timeoutMs: number;
}

/** Interface of the replicated log for the rest of the daemon. */
export interface ReplicatedLog {
    /** Index of the last command applied on this daemon. */
    readonly appliedIndex: number;

    /**
     * Commits a command and returns the result of applying it on the leader. Throws a GreengageError with the verdict
     * `notRun` if the command was certainly not committed, and `mayHaveRun` otherwise.
     */
    propose(command: Command, options: TimeoutOptions): Promise<{ index: number; result: unknown; }>;

    /** Returns an index at or after every command that was committed before the call. Requires a leader. */
    readBarrier(options: TimeoutOptions): Promise<number>;

    /** Resolves once this daemon has applied entry `index`. Throws a GreengageError on timeout. */
    waitForApplied(index: number, options: TimeoutOptions): Promise<void>;

    /**
     * Whether this daemon has caught up since its start: it has applied everything that the leader, or without a leader
     * its own zone, had committed at some time after the start. It must not serve its state before that.
     */
    readonly isCurrent: boolean;

    status(): LogStatus;
}
