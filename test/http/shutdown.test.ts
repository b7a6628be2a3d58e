import { waitFor } from "@greengage/faults";
import test from "ava";
import { CALLER_KEY, chatBody, send, startServer } from "./fixture.ts";

// Guards against a shutdown whose interrupted requests leave no trace.
test("a request that the close interrupts is counted with its progress", async (t) => {
    const { admission, metrics, server, url } = await startServer(t, {
        dispatcher: { generate: () => new Promise(() => undefined) },
    });
    const response = send(`${url}/v1/chat/completions`, { key: CALLER_KEY, body: chatBody() });
    await waitFor("the request", () => admission.inFlight === 1 || undefined);
    await Promise.all([server.close(), t.throwsAsync(response)]);
    await waitFor("the count", () => metrics.render().includes("http_interrupted") || undefined);
    t.regex(metrics.render(), /http_interrupted\{progress="unanswered",closedBy="daemon"\} 1/);
});
