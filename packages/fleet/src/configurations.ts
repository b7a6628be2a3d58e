import { type Context, LogPart, messageOf } from "@greengage/base";
import type { ConfigurationRegister, RoutingTable } from "@greengage/configuration";
import type { RaftLog } from "@greengage/consensus";
import { deflateRawSync } from "node:zlib";

export interface ConfigurationSourceOptions {
    context: Context;
    log: RaftLog;
    register: ConfigurationRegister;
    /** Decodes a configuration that was accepted. Throws when it can't be read. */
    decode: (document: Uint8Array) => RoutingTable;
}

/** The configuration in force on a control daemon, for itself and for the daemons that watch it. */
export class ConfigurationSource {
    readonly #options: ConfigurationSourceOptions;
    #routing: RoutingTable | undefined;
    #decodedVersion = 0;
    #compressed: { version: number; document: Uint8Array; } | undefined;

    constructor(options: ConfigurationSourceOptions) {
        this.#options = options;
    }

    /** Decoded when it is first needed, as a start replays many. Undefined before the first configuration. */
    routing(): RoutingTable | undefined {
        const { register, decode, context } = this.#options;
        const { held } = register;
        if (held === undefined || held.version === this.#decodedVersion) {
            return this.#routing;
        }
        this.#decodedVersion = held.version;
        try {
            this.#routing = decode(held.document);
        }
        catch (error) {
            context.logs(LogPart.Table).error("an accepted configuration can't be read", {
                version: held.version,
                reason: messageOf(error),
            });
        }
        return this.#routing;
    }

    /**
     * The configuration, compressed with deflate, if it is newer than `version`. A daemon that has just started hands
     * none out before it has caught up, because it may hold an older one itself.
     */
    newerThan(version: number): { version: number; document: Uint8Array; } | undefined {
        const { register, log } = this.#options;
        return register.version > version && log.isCurrent ? this.#compress() : undefined;
    }

    /** Compressed once for all daemons that ask. */
    #compress(): { version: number; document: Uint8Array; } | undefined {
        const { held } = this.#options.register;
        if (held !== undefined && this.#compressed?.version !== held.version) {
            this.#compressed = { version: held.version, document: deflateRawSync(held.document) };
        }
        return this.#compressed;
    }
}
