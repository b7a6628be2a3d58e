/**
 * Preload script for test processes. Binds outgoing connections to the address in `GREENGAGE_TEST_SOURCE`, so that
 * fault-injecting proxies can tell which process opened a connection. Connections to 127.0.0.1 go to the address in
 * `GREENGAGE_TEST_SERVER_HOST` instead, so that the paths of one process to servers can be cut.
 */
import { Socket, type TcpSocketConnectOpts } from "node:net";

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const SERVER_HOST = "127.0.0.1";

const source = process.env["GREENGAGE_TEST_SOURCE"];
const serverHost = process.env["GREENGAGE_TEST_SERVER_HOST"];

const applyOverrides = (options: TcpSocketConnectOpts): void => {
    if (source !== undefined) {
        options.localAddress ??= source;
    }
    if (serverHost !== undefined && options.host === SERVER_HOST) {
        options.host = serverHost;
    }
};

if (source !== undefined || serverHost !== undefined) {
    const connect = Socket.prototype.connect as Connect;
    const connectWithOverrides: Connect = function(this: Socket, ...args) {
        // `net.connect` forwards its normalised arguments as a single array.
        const options = Array.isArray(args[0]) ? args[0][0] as unknown : args[0];
        if (typeof options === "object" && options && !("path" in options && options.path)) {
            applyOverrides(options as TcpSocketConnectOpts);
        }
        return connect.apply(this, args);
    };
    Socket.prototype.connect = connectWithOverrides as typeof Socket.prototype.connect;
}
