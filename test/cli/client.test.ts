import test from "ava";
import { OperatorClient } from "../../packages/cli/src/client.ts";
import { CommandError, ExitCode } from "../../packages/cli/src/exit.ts";
import { responsesWithInvalidFields, responsesWithInvalidStatus } from "../gateway/malformedresponses.ts";
import { Finish, startRawServer } from "../gateway/rawserver.ts";

process.env["GREENGAGE_KEY"] = "key";

const TEXT = `HTTP/1.1 200 OK\r\n\r\n{"version":1}`;

// Guards against an edit that counts as done by the part of a response that looks whole.
for (const finishDelayMs of [0, 20]) {
    test(`an operator's request has no result if its response is reset ${finishDelayMs} ms after its part`, async (t) => {
        const { address } = await startRawServer(t, { text: TEXT, finish: Finish.Reset, finishDelayMs });
        const client = new OperatorClient({ url: `http://${address}` });
        const edit = client.post("table/edits", {});
        t.is((await t.throwsAsync(edit, { instanceOf: CommandError }))?.exitCode, ExitCode.OutcomeUnknown);
        const read = client.get("table");
        t.is((await t.throwsAsync(read, { instanceOf: CommandError }))?.exitCode, ExitCode.Failed);
    });
}

test("an operator's request is answered by a response without a length that ends regularly", async (t) => {
    const { address } = await startRawServer(t, { text: TEXT, finish: Finish.End });
    t.deepEqual(await new OperatorClient({ url: `http://${address}` }).get("table"), { version: 1 });
});

const malformedResponses = {
    ...responsesWithInvalidStatus("", "{}"),
    ...responsesWithInvalidFields("", "{}"),
};

// Guards against an edit that counts as done by a malformed response.
test("an operator's edit has an unknown outcome if its response is malformed", async (t) => {
    for (const [title, text] of Object.entries(malformedResponses)) {
        const { address } = await startRawServer(t, { text });
        const edit = new OperatorClient({ url: `http://${address}` }).post("table/edits", {});
        const error = await t.throwsAsync(edit, { instanceOf: CommandError }, title);
        t.is(error?.exitCode, ExitCode.OutcomeUnknown, title);
    }
});
