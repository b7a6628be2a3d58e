import { createContext, ErrorCode, GreengageError } from "@greengage/base";
import { Hub } from "@greengage/bench";
import { CulpritQuarantine, QuarantineOperations } from "@greengage/fleet";
import test from "ava";

interface FixtureOptions {
    /** Leader as known to both daemons. */
    leaderId: string | undefined;
    /** Daemon that holds the leader's lease. */
    leaseHolderId?: string;
}

/** Creates the operations of two control daemons and the quarantine of the first one. */
const createOperations = (
    { leaderId, leaseHolderId = leaderId }: FixtureOptions,
): { quarantine: CulpritQuarantine; first: QuarantineOperations; second: QuarantineOperations; } => {
    const hub = new Hub();
    const create = (
        daemonId: string,
    ): { quarantine: CulpritQuarantine; operations: QuarantineOperations; } => {
        const context = createContext({ daemonId, zone: "z" });
        const quarantine = new CulpritQuarantine(context);
        const operations = new QuarantineOperations({
            context,
            peers: hub.join({ daemonId, zone: "z", host: "", port: 0 }),
            log: {
                holdsLeaderLease: daemonId === leaseHolderId,
                status: () => ({ leaderId }) as ReturnType<PartOperationsLog["status"]>,
            },
            onChanged: () => undefined,
            quarantine,
        });
        return { quarantine, operations };
    };
    const { quarantine, operations: first } = create("daemon-1");
    return { quarantine, first, second: create("daemon-2").operations };
};

type PartOperationsLog = ConstructorParameters<typeof QuarantineOperations>[0]["log"];

/** Blames a part for the crash of one group in each service. */
const blame = (quarantine: CulpritQuarantine, partId: string, services: string[]): void =>
    services.forEach((service) =>
        quarantine.recordCrash(service, 1, [{ partIds: [partId], hasHead: true }], performance.now())
    );

// Guards against operators who see no suspect, or lift none, because they asked a control daemon that doesn't lead.
test("a control daemon that doesn't lead lists and lifts nothing", async (t) => {
    const { quarantine, second } = createOperations({ leaderId: "daemon-1" });
    blame(quarantine, "deadly", ["chat", "search"]);
    blame(quarantine, "other", ["chat"]);
    const listed = await second.list();
    t.deepEqual(listed.map(({ service, partId }) => [service, partId]), [
        ["chat", "deadly"],
        ["search", "deadly"],
        ["chat", "other"],
    ]);
    t.deepEqual(listed[0]?.crashedEpochs, [1]);
    t.deepEqual(await second.lift("deadly"), ["chat", "search"]);
    t.deepEqual((await second.list()).map(({ partId }) => partId), ["other"]);
    t.deepEqual(await second.lift("deadly"), []);
});

test("a lift without a leader, or at a former leader, is reported as done", async (t) => {
    for (const options of [{ leaderId: undefined }, { leaderId: "daemon-1", leaseHolderId: "daemon-2" }]) {
        const { quarantine, first, second } = createOperations(options);
        blame(quarantine, "deadly", ["chat"]);
        for (const operations of [first, second]) {
            const listError = await t.throwsAsync(operations.list(), { instanceOf: GreengageError });
            const liftError = await t.throwsAsync(operations.lift("deadly"), { instanceOf: GreengageError });
            t.is(listError?.code, ErrorCode.Unavailable);
            t.is(liftError?.code, ErrorCode.Unavailable);
        }
        t.is(quarantine.view(performance.now()).length, 1);
    }
});
