import { waitFor } from "@greengage/faults";
import test from "ava";
import { Finish, Reading, startRawServer } from "../gateway/rawserver.ts";
import { PlatformEngine } from "./engine.ts";
import { call, chatHeaders } from "./fixtures.ts";
import { startServing } from "./serving.ts";

/** Largest body of the platform's callers. */
const BODY = "x".repeat(4_194_304);
const PART = "part of an answer";
const HEAD = "HTTP/1.1 200 OK\r\ngreengageridge-request-id: {id}\r\ngreengageridge-response-stamp: stamp\r\n";
const CONCURRENT_REQUESTS = 8;
const FAULTY_ANSWERS = 3;

// Guards against the part of an answer that callers of a real entry daemon get as a whole one, and against a second run.
for (const path of ["read", "pay"]) {
    test.serial(`callers of /${path}/ get no part of an answer that is reset beside their upload`, async (t) => {
        const { callers, control, entry } = await startServing(t);
        const faulty = await startRawServer(t, {
            text: `${HEAD}\r\n${PART}`,
            reading: Reading.Head,
            finish: Finish.Reset,
            finishDelayMs: 0,
        });
        await PlatformEngine.start(t, {
            id: "l2",
            service: "ledger",
            control,
            advertisedAddress: faulty.address,
        });
        let count = 0;
        // A server that fails is avoided for a while, so several requests are sent at once.
        await waitFor("requests at the faulty server", async () => {
            const ids = Array.from({ length: CONCURRENT_REQUESTS }, () => `r${count++}`);
            const answers = await Promise.all(ids.map((id) =>
                call(`http://${callers}/${path}/${id}`, {
                    method: "POST",
                    body: BODY,
                    headers: chatHeaders(id),
                })
            ));
            t.deepEqual(answers.filter((answer) => answer?.text.includes(PART)), []);
            return faulty.receivedIds.length >= FAULTY_ANSWERS || undefined;
        });
        t.log(`${faulty.receivedIds.length} of ${count} requests at the faulty server`);
        t.true(path === "read" || new Set(faulty.receivedIds).size === faulty.receivedIds.length);
        t.is(entry.exitCode ?? undefined, undefined);
    });
}
