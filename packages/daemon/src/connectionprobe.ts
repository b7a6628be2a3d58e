import { connect } from "node:net";

/**
 * Resolves to whether the host of `url` refuses connections to its port, that is, no process listens there. False as well if
 * there is no answer within `timeoutMs`, as the network can be the cause.
 */
export const refusesConnections = (url: string, timeoutMs: number): Promise<boolean> =>
    new Promise((resolve) => {
        const { hostname, port, protocol } = new URL(url);
        const defaultPort = protocol === "https:" ? 443 : 80;
        const socket = connect({ host: hostname, port: port === "" ? defaultPort : Number(port) });
        const finish = (isRefused: boolean): void => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.setTimeout(timeoutMs, () => finish(false));
        socket.once("connect", () => finish(false));
        socket.once("error", ({ code }: NodeJS.ErrnoException) => finish(code === "ECONNREFUSED"));
    });
