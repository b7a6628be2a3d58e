import { createContext } from "@greengage/base";
import { DepartureState, GroupController, ServerRegistry } from "@greengage/fleet";
import type { GroupRecords } from "@greengage/protocol";
import test, { type ExecutionContext } from "ava";
import { HEARTBEAT_MS } from "./fixtures.ts";

const records: GroupRecords = {
    version: 1,
    groups: [{
        groupName: "g1",
        epoch: 1,
        service: "llm",
        model: "small",
        zone: "z",
        fabricDomain: "d",
        headAddress: "head:1",
        members: [{ serverId: "head", bornMs: 1, address: "head:1", sequence: 1 }],
        phase: "open",
    }],
    endedNames: [],
    servers: [{ serverId: "plain", service: "ledger", address: "plain:1", zone: "z", slotCount: 1 }],
    entryDaemonCount: 1,
};

interface NewLeader {
    controller: GroupController;
    /** Ids and addresses of the probed servers. */
    probed: string[];
}

/** A leader that has the records of the former one, and no report of any server yet. */
const startNewLeader = (t: ExecutionContext, isAlive: boolean): NewLeader => {
    const probed: string[] = [];
    const addProbed = (server: { serverId: string; address: string; }): void => {
        probed.push(`${server.serverId} ${server.address}`);
    };
    const controller = new GroupController({
        context: createContext({ daemonId: "c", zone: "z" }),
        registry: new ServerRegistry(new DepartureState()),
        orders: {
            probe: async (server: { serverId: string; address: string; }) => {
                addProbed(server);
                return isAlive ? { kind: "answered", pace: 1 } : { kind: "silent" };
            },
            acceptsConnections: async (server: { serverId: string; address: string; }) => {
                addProbed(server);
                return isAlive;
            },
        } as never,
        timing: { heartbeatMs: HEARTBEAT_MS },
        routing: () => undefined,
        mayAct: () => true,
        onReconciled: () => undefined,
    });
    t.teardown(() => controller.close());
    controller.activate(2, records);
    return { controller, probed };
};

for (const [state, isAlive] of [["sound", true], ["crashed", false]] as const) {
    test(`a new leader takes a broken connection to a ${state} group for a crash without a check`, async (t) => {
        const { controller, probed } = startNewLeader(t, isAlive);
        t.is(await controller.confirmCrash("g1", 1), !isAlive);
        t.deepEqual(probed, ["head head:1"]);
    });

    test(`a new leader takes a broken connection to a ${state} plain server for a crash without a check`, async (t) => {
        const { controller, probed } = startNewLeader(t, isAlive);
        t.is(await controller.confirmServerCrash("plain"), isAlive ? undefined : "plain");
        t.deepEqual(probed, ["plain plain:1"]);
    });
}
