/**
 * Preloaded into test processes: binds outgoing connections to the address in `GREENGAGE_TEST_SOURCE`,
 * so that fault-injecting proxies can tell which process opened a connection.
 */
import { Socket, type TcpSocketConnectOpts } from "node:net";

type Connect = (this: Socket, ...args: unknown[]) => Socket;

const source = process.env["GREENGAGE_TEST_SOURCE"];
if (source !== undefined) {
    const connect = Socket.prototype.connect as Connect;
    const bound: Connect = function(this: Socket, ...args) {
        // `net.connect` passes its arguments on as one array.
        const first = Array.isArray(args[0]) ? args[0][0] as unknown : args[0];
        if (typeof first === "object" && first && !("path" in first && first.path)) {
            (first as TcpSocketConnectOpts).localAddress ??= source;
        }
        return connect.apply(this, args);
    };
    Socket.prototype.connect = bound as typeof Socket.prototype.connect;
}
