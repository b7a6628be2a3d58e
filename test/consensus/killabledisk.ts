import { mkdirSync, readdirSync, readFileSync, renameSync, rmSync, statSync, writeFileSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";

/** What a data folder holds after its process or its VM has ended. */
export const DiskLoss = {
    /** The process was killed: the files stay as they are. */
    Kill: "kill",
    /** Power was lost: what was not synced is gone. New and renamed files keep their names. */
    UnsyncedBytes: "unsynced bytes lost",
    /** Power was lost: names that were not synced with their folder are gone, too. */
    UnsyncedNames: "unsynced names lost",
} as const;

export type DiskLoss = typeof DiskLoss[keyof typeof DiskLoss];

interface StoredFile {
    inode: number;
    bytes: Buffer;
}

interface KillableDiskOptions {
    folder: string;
    loss: DiskLoss;
    /** Called when the process or power is lost; from then on nothing that the member sends may arrive. */
    onLost: () => void;
}

/**
 * Disk of a member that is lost at a chosen write or sync: before it, amid it or after it. The member goes on writing to its
 * folder, and `restore` replaces the folder by what it held at the moment of the loss. Syncs are only recorded.
 */
export class KillableDisk {
    readonly #options: KillableDiskOptions;
    /** Content of each file at its last sync, by inode. */
    readonly #syncedBytes = new Map<number, Buffer>();
    /** Inodes by name at the last sync of the folder. */
    #syncedNames = new Map<string, number>();
    #remainingSteps = Infinity;
    #resolveLost: () => void = () => undefined;
    isLost = false;
    /** Resolves when the disk is lost. */
    readonly lost = new Promise<void>((resolve) => this.#resolveLost = resolve);

    constructor(options: KillableDiskOptions) {
        this.#options = options;
        mkdirSync(options.folder, { recursive: true });
        this.#files().forEach(({ inode, bytes }, name) => {
            this.#syncedNames.set(name, inode);
            this.#syncedBytes.set(inode, bytes);
        });
    }

    /** Loses the disk at the moment `step`, counted from 0, of the writes and syncs from now on. */
    arm(step: number): void {
        this.#remainingSteps = step;
    }

    readonly writeFile = async (file: FileHandle, bytes: Uint8Array): Promise<void> => {
        this.#pass();
        const half = Math.floor(bytes.length / 2);
        await file.writeFile(bytes.subarray(0, half));
        this.#pass();
        await file.writeFile(bytes.subarray(half));
    };

    readonly syncFile = async (file: FileHandle): Promise<void> => {
        this.#pass();
        const { ino } = await file.stat();
        const files = this.#files();
        const synced = [...files.values()].find(({ inode }) => inode === ino);
        if (synced === undefined) {
            this.#syncedNames = new Map([...files].map(([name, { inode }]) => [name, inode]));
        }
        else {
            this.#syncedBytes.set(ino, synced.bytes);
        }
        this.#pass();
    };

    /** Replaces the folder by what it held when the disk was lost. The member must have been stopped. */
    restore(): void {
        const { folder } = this.#options;
        rmSync(folder, { recursive: true });
        renameSync(this.#copyFolder, folder);
    }

    get #copyFolder(): string {
        return `${this.#options.folder}.lost`;
    }

    /** Loses the disk now. */
    lose(): void {
        if (!this.isLost) {
            this.isLost = true;
            this.#options.onLost();
            this.#copyFiles();
            this.#resolveLost();
        }
    }

    #pass(): void {
        if (this.#remainingSteps === 0) {
            this.lose();
        }
        this.#remainingSteps -= 1;
    }

    #copyFiles(): void {
        const { loss } = this.#options;
        const files = this.#files();
        const inodeByName = new Map([...files].map(([name, { inode }]) => [name, inode]));
        mkdirSync(this.#copyFolder);
        const names = loss === DiskLoss.UnsyncedNames ? this.#syncedNames : inodeByName;
        names.forEach((inode, name) => {
            const bytes = loss === DiskLoss.Kill ? files.get(name)?.bytes : this.#syncedBytes.get(inode);
            writeFileSync(join(this.#copyFolder, name), bytes ?? Buffer.alloc(0));
        });
    }

    /** The files by name. Reads again if the member renames one meanwhile. */
    #files(): Map<string, StoredFile> {
        const { folder } = this.#options;
        for (;;) {
            try {
                return new Map(
                    readdirSync(folder).map((name): [string, StoredFile] => {
                        const path = join(folder, name);
                        return [name, { inode: statSync(path).ino, bytes: readFileSync(path) }];
                    }),
                );
            }
            catch (error) {
                if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
                    throw error;
                }
            }
        }
    }
}
