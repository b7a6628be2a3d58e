import { waitFor } from "@greengage/faults";
import { ConnectionPools } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { type RelayFixture, startRelay } from "../protocol/relayfixtures.ts";

const HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

/** Sends a request over a relayed connection as the gateway does. Resolves to the body, rejects if it isn't whole. */
const requestThrough = async (t: ExecutionContext, { open, request }: RelayFixture): Promise<string> => {
    const pools = new ConnectionPools();
    t.teardown(() => pools.close());
    const client = pools.createRelayed(`http://${request.address}`, await open());
    t.teardown(() => client.destroy());
    const { body } = await client.request({ method: "POST", path: "/", body: "question" });
    return await body.text();
};

const isWholeBySocketEnd: Record<string, { end: (socket: Socket) => unknown; isWhole: boolean; }> = {
    ends: { end: (socket) => socket.end(), isWhole: true },
    "is reset": { end: (socket) => socket.resetAndDestroy(), isWhole: false },
};

for (const [title, { end, isWhole }] of Object.entries(isWholeBySocketEnd)) {
    // Guards against a response without a length that is taken for whole, or broken, by the wrong end of its connection.
    test(`a relayed response without a length is ${isWhole ? "whole" : "broken"} if the server's connection ${title}`, async (t) => {
        const fixture = await startRelay(t, {
            onServerConnection: (socket) => {
                socket.once("data", () => socket.write(`${HEAD_WITHOUT_LENGTH}part`, () => end(socket)));
            },
        });
        const answer = requestThrough(t, fixture);
        await (isWhole ? t.notThrowsAsync(answer) : t.throwsAsync(answer));
    });
}

// Guards against a relayed response that is taken for whole because its relay has ended.
test("a relayed response without a length is broken if the relay ends", async (t) => {
    const fixture = await startRelay(t, {
        onServerConnection: (socket) => {
            socket.once("data", () => socket.write(`${HEAD_WITHOUT_LENGTH}part`));
        },
    });
    const answer = requestThrough(t, fixture);
    await waitFor("the response", () => fixture.serverSockets[0]?.bytesWritten);
    await fixture.relay.close();
    await t.throwsAsync(answer);
});
