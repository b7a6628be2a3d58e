/** Process of `SilentListener`. It is stopped while it listens, so no connection is accepted. */
import { once } from "node:events";
import { connect, createServer, type Server } from "node:net";

interface Address {
    host: string;
    port: number;
}

const BACKLOG = 1;
/** The system accepts one connection more than the backlog; then it drops the first packet of further ones. */
const FILLER_COUNT = BACKLOG + 1;

const listen = async ({ host, port }: Address): Promise<Server> => {
    const server = createServer((socket) => socket.destroy());
    server.listen({ host, port, backlog: BACKLOG });
    await once(server, "listening");
    return server;
};

const listenSilently = async (addresses: readonly Address[]): Promise<void> => {
    const servers = await Promise.all(addresses.map(listen));
    const fillers = addresses.flatMap((address) =>
        Array.from({ length: FILLER_COUNT }, () => connect(address).on("error", () => undefined))
    );
    // `connect` opens the connection in the next tick, so this tick follows those of all fillers.
    process.nextTick(() => {
        process.send?.("listening");
        process.kill(process.pid, "SIGSTOP");
        fillers.forEach((filler) => filler.destroy());
        servers.forEach((server) => server.close());
        process.send?.("stopped");
    });
};

process.on("message", (addresses: readonly Address[]) => void listenSilently(addresses));
process.once("disconnect", () => process.exit());
process.send?.("ready");
