import { firstPortOf, freePorts } from "@greengage/faults";
import test from "ava";

// Guards against a test that takes the port of another one's server while that server restarts.
test("processes whose ids are close draw ports from different ranges", async (t) => {
    const firstPorts = Array.from({ length: 50 }, (_, index) => firstPortOf(process.pid + index));
    t.is(new Set(firstPorts).size, firstPorts.length);
    const ports = await freePorts(60);
    t.is(new Set(ports).size, 60);
    const highestPort = Math.min(...firstPorts.filter((port) => port > firstPortOf(process.pid)), 32_000);
    t.true(ports.every((port) => port >= firstPortOf(process.pid) && port < highestPort));
});
