import { randomInt } from "node:crypto";
import { createServer } from "node:net";

// Below the range from which the system picks ports of outgoing connections, so that a process
// can listen on its port again after a restart.
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;

/** Ports on loopback that were free a moment ago. */
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
