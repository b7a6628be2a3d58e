/** A relay that writes an undici body through to the response and checks nothing: the baseline of the relay. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import type { StreamTarget } from "./loadoptions.ts";

const targets = JSON.parse(process.argv[2] ?? "[]") as StreamTarget[];
const dispatcher = new Agent({ pipelining: 1 });
let turn = 0;

const server = createServer((incoming, response) => {
    const target = targets[turn % targets.length] as StreamTarget;
    turn += 1;
    request(target.url, { method: "POST", headers: target.headers, body: incoming, dispatcher })
        .then((answer) => {
            response.writeHead(answer.statusCode, { "content-type": "text/event-stream" });
            answer.body.pipe(response);
        })
        .catch(() => response.destroy());
});
server.listen(0, "127.0.0.1", () => {
    console.log(JSON.stringify({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }));
});
