/** Baseline for the relay measurement: pipes undici response bodies to the caller without any checks. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import type { StreamTarget } from "./loadoptions.ts";

const targets = JSON.parse(process.argv[2] ?? "[]") as StreamTarget[];
const dispatcher = new Agent({ pipelining: 1 });
let nextTarget = 0;

const server = createServer((incoming, response) => {
    const target = targets[nextTarget % targets.length] as StreamTarget;
    nextTarget += 1;
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
