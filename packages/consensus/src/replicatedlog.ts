/** A command of the replicated log. The part before the dot of `type` names the state machine that applies it. */
export interface Command {
    type: string;
}

/** Applies committed commands. All daemons apply the same commands in the same order. */
export interface StateMachine {
    /** Must be deterministic: no clock, no random numbers, no input or output. */
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
    /** Identity of this member; undefined on a daemon without a data folder. */
    memberId?: string;
    /** Daemon ids of the voters in force, as far as this daemon knows them. */
    voterIds?: string[];
    /** Daemon that a learner fetches from. */
    parentId?: string;
    isCurrent: boolean;
    /** Time since the last word of the leader; 0 on the leader, Infinity when there was none. */
    leaderContactAgeMs: number;
    /** Daemons that ask this leader for a vote. */
    joiningIds: string[];
}

export interface TimeoutOptions {
    timeoutMs: number;
}

/** The replicated log as the other parts of a daemon use it. */
export interface ReplicatedLog {
    /** Index of the last command applied on this daemon. */
    readonly appliedIndex: number;

    /**
     * Commits a command and returns the result of its application on the leader.
     * Throws a GreengageError whose verdict is `notRun` if the command can't have been committed,
     * and `mayHaveRun` otherwise.
     */
    propose(command: Command, options: TimeoutOptions): Promise<{ index: number; result: unknown; }>;

    /** Returns an index that covers every command committed before the call. Needs the leader. */
    readBarrier(options: TimeoutOptions): Promise<number>;

    /** Resolves when this daemon has applied `index`. Throws a GreengageError on timeout. */
    waitForApplied(index: number, options: TimeoutOptions): Promise<void>;

    /**
     * Whether this daemon has applied, since its start, everything that the leader had committed at some time after
     * the start, or its zone's voter if there is no leader. Before that it must not serve what it holds.
     */
    readonly isCurrent: boolean;

    status(): LogStatus;
}
