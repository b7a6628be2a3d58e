import { existsSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";

/** Names a file. While it exists, all writes to files are refused as on a full disk. */
export const FULL_DISK_MARKER_VARIABLE = "GREENGAGE_TEST_FULL_DISK_MARKER";

const TORN_BYTES = 9;

/** Makes writes of this process fail while `markerPath` exists, after their first bytes. Loaded before the daemon. */
const refuseWrites = async (markerPath: string): Promise<void> => {
    const file = await open("/dev/null", "w");
    const prototype = Object.getPrototypeOf(file) as FileHandle;
    await file.close();
    const writeFile = prototype.writeFile;
    prototype.writeFile = async function(this: FileHandle, data, options): Promise<void> {
        if (!existsSync(markerPath)) {
            await writeFile.call(this, data, options);
            return;
        }
        await writeFile.call(this, (data as Buffer).subarray(0, TORN_BYTES), options);
        throw Object.assign(new Error("ENOSPC: no space left on device, write"), { code: "ENOSPC" });
    };
};

const markerPath = process.env[FULL_DISK_MARKER_VARIABLE];
if (markerPath !== undefined) {
    await refuseWrites(markerPath);
}
