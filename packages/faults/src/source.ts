/**
 * Preload script for test processes. Binds outgoing connections to the address in `GREENGAGE_TEST_SOURCE`, so that
 * fault-injecting proxies can tell which process opened a connection.
 */
import { Socket, type TcpSocketConnectOpts } from "node:net";

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const source = process.env["GREENGAGE_TEST_SOURCE"];
if (source !== undefined) {
    const connect = Socket.prototype.connect as Connect;
    const connectFromSource: Connect = function(this: Socket, ...args) {
        // `net.connect` forwards its normalised arguments as a single array.
        const options = Array.isArray(args[0]) ? args[0][0] as unknown : args[0];
        if (typeof options === "object" && options && !("path" in options && options.path)) {
            (options as TcpSocketConnectOpts).localAddress ??= source;
        }
        return connect.apply(this, args);
    };
    Socket.prototype.connect = connectFromSource as typeof Socket.prototype.connect;
}
