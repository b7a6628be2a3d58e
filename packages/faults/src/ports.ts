import { randomInt } from "node:crypto";
import { createServer } from "node:net";

// Below the ephemeral port range of the system, so that no outgoing connection takes a port while the
// process that listens on it restarts.
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
const PORTS_PER_PROCESS = 400;
const RANGE_COUNT = (HIGHEST_PORT - LOWEST_PORT) / PORTS_PER_PROCESS;

/**
 * First port of the range of a process. Processes whose ids are close, as those of one test run, draw from different ranges, so
 * that none takes a port of another one while its listener restarts.
 */
export const firstPortOf = (processId: number): number =>
    LOWEST_PORT + processId % RANGE_COUNT * PORTS_PER_PROCESS;

/** Ports that this process has returned. Their listeners may not have started yet. */
const returnedPorts = new Set<number>();

/** Returns loopback ports that were free when they were probed, and that no recent call has returned. */
export const freePorts = async (count: number): Promise<number[]> => {
    const firstPort = firstPortOf(process.pid);
    if (returnedPorts.size + count > PORTS_PER_PROCESS / 2) {
        returnedPorts.clear();
    }
    const ports: number[] = [];
    while (ports.length < count) {
        const port = randomInt(firstPort, firstPort + PORTS_PER_PROCESS);
        if (!returnedPorts.has(port)) {
            returnedPorts.add(port);
            ports.push(...await isFree(port) ? [port] : []);
        }
    }
    return ports;
};

const isFree = (port: number): Promise<boolean> =>
    new Promise((resolve) => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
