import { accessSync, constants } from "node:fs";
import { tmpdir } from "node:os";

/** Time limits of the tests hold for disks that sync within milliseconds, so data folders of tests are kept in memory if possible. */
const testFolder = () => {
    const memoryFileSystem = "/dev/shm";
    try {
        accessSync(memoryFileSystem, constants.W_OK | constants.X_OK);
        return memoryFileSystem;
    }
    catch {
        return tmpdir();
    }
};

export default {
    files: ["test/**/*.test.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    workerThreads: false,
    timeout: "120s",
    concurrency: 4,
    environmentVariables: { TMPDIR: process.env.TMPDIR ?? testFolder() },
};
