import { randomInt } from "node:crypto";
import { createServer } from "node:net";

// Below the ephemeral port range of the system, so that no outgoing connection takes a port while the
// process that listens on it restarts.
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;

/** Returns loopback ports that were free when they were probed. */
export const freePorts = async (count: number): Promise<number[]> => {
    const ports = new Set<number>();
    while (ports.size < count) {
        const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
        if (!ports.has(port) && await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
};

const isFree = (port: number): Promise<boolean> =>
    new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
