import test from "ava";
import { execFileSync } from "node:child_process";

/** Lines that a process prints whose loggers have these options. The code calls `logs(part)`. */
const linesOf = (options: object, code: string): string[] => {
    const program = `import { createLogFactory } from "@greengage/base";
        const logs = createLogFactory(${JSON.stringify(options)});
        ${code}`;
    const args = ["--import=tsx", "--input-type=module", "-e", program];
    return execFileSync(process.execPath, args, { encoding: "utf8" }).trim().split("\n");
};

test("each part logs with its prefix at its own level", (t) => {
    const lines = linesOf(
        { format: "json", level: "warn", levels: { http: "debug" } },
        `logs("http").debug("request is done", { status: 200 });
        logs("peer").info("not written");
        logs("peer").warn("connection failed");`,
    );
    t.is(lines.length, 2);
    t.like(JSON.parse(lines[0] ?? ""), { message: "http: request is done", level: "DEBUG", status: 200 });
    t.like(JSON.parse(lines[1] ?? ""), { message: "peer: connection failed", level: "WARN" });
});

test("pretty lines have the level and the prefix", (t) => {
    const [line] = linesOf({ format: "pretty" }, `logs("daemon").error("start failed");`);
    t.regex(line ?? "", /ERROR.* daemon: start failed/);
});
