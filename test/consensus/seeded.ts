import { TestCluster } from "./fixture.ts";

export const SEEDS = ["d1", "d2", "d3"];

/** Starts the seeds of a cluster with dynamic voters. `d4` and `d5` are not started. */
export const startSeeded = async (
    t: { teardown(cleanup: () => Promise<void>): void; },
    seedIds: () => readonly string[] = () => SEEDS,
    replaceLostAfterMs = 400,
): Promise<TestCluster> => {
    const cluster = new TestCluster({
        voters: 5,
        raft: {
            daemons: [],
            dynamicVoters: { seedIds, targetCount: 3, replaceLostAfterMs },
        },
    });
    t.teardown(() => cluster.stop());
    await Promise.all(SEEDS.map((id) => cluster.startMember(id)));
    await cluster.leader();
    return cluster;
};

/** Ids of the voters that the leader knows; empty without a leader. */
export const votersOf = (cluster: TestCluster): string =>
    [...cluster.members.values()].find(({ log }) => log.role === "leader")?.log.status().voterIds?.slice()
        .sort().join()
        ?? "";

/** Starts a daemon that waits to replace a voter, and waits until it has caught up. */
export const startSpare = async (cluster: TestCluster, daemonId: string): Promise<void> => {
    await cluster.startMember(daemonId, { bootstrap: false });
    await cluster.waitFor(
        `${daemonId} to wait for a place`,
        () =>
            [...cluster.members.values()].some(({ log }) =>
                    log.role === "leader" && log.status().joiningIds.includes(daemonId)
                )
                ? true
                : undefined,
    );
    const { notes } = cluster.member(daemonId);
    await cluster.waitFor(`the notes of ${daemonId}`, () => notes.ids.length > 0 ? true : undefined);
};
