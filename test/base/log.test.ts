import test from "ava";
import { execFileSync } from "node:child_process";

/** Runs `code` in a new process and returns the lines it logs. `code` gets loggers with `options` from `logs(part)`. */
const captureLogLines = (options: object, code: string): string[] => {
    const program = `import { createLogFactory } from "@greengage/base";
        const logs = createLogFactory(${JSON.stringify(options)});
        ${code}`;
    const args = ["--import=tsx", "--input-type=module", "-e", program];
    return execFileSync(process.execPath, args, { encoding: "utf8" }).trim().split("\n");
};

test("each component logs with its own prefix and minimum level", (t) => {
    const lines = captureLogLines(
        { format: "json", level: "warn", levels: { http: "debug" } },
        `logs("http").debug("request is done", { status: 200 });
        logs("peer").info("not written");
        logs("peer").warn("connection failed");`,
    );
    t.is(lines.length, 2);
    t.like(JSON.parse(lines[0] ?? ""), { message: "http: request is done", level: "DEBUG", status: 200 });
    t.like(JSON.parse(lines[1] ?? ""), { message: "peer: connection failed", level: "WARN" });
});

test("pretty lines contain the level and the prefix", (t) => {
    const [line] = captureLogLines({ format: "pretty" }, `logs("daemon").error("start failed");`);
    t.regex(line ?? "", /ERROR.* daemon: start failed/);
});
