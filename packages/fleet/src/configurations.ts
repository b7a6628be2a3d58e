import { type Context, LogPart, messageOf } from "@greengage/base";
import type { Configuration, ConfigurationState, RoutingTable } from "@greengage/configuration";
import type { RaftLog } from "@greengage/consensus";
import { decode, encode, type PackedConfiguration } from "@greengage/protocol";
import { deflateRawSync, inflateRawSync } from "node:zlib";

export interface ConfigurationSourceOptions {
    context: Context;
    log: RaftLog;
    configurationState: ConfigurationState;
    /** Decodes a configuration that was accepted. Throws when it can't be read. */
    decode: (document: Uint8Array) => RoutingTable;
}

/** The configuration in force on a control daemon, for itself and for the daemons that watch it. */
export class ConfigurationSource {
    readonly #options: ConfigurationSourceOptions;
    #routing: RoutingTable | undefined;
    #decodedVersion = 0;
    #packed: PackedConfiguration | undefined;

    constructor(options: ConfigurationSourceOptions) {
        this.#options = options;
    }

    /** Decoded when it is first needed, as a start replays many. Undefined before the first configuration. */
    routing(): RoutingTable | undefined {
        const { configurationState, decode, context } = this.#options;
        const { latest } = configurationState;
        if (latest === undefined || latest.version === this.#decodedVersion) {
            return this.#routing;
        }
        this.#decodedVersion = latest.version;
        try {
            this.#routing = decode(latest.document);
        }
        catch (error) {
            context.logs(LogPart.Table).error("an accepted configuration can't be read", {
                version: latest.version,
                reason: messageOf(error),
            });
        }
        return this.#routing;
    }

    /**
     * The configuration, packed, if it is newer than `version`. A daemon that has just started hands none out before it
     * has caught up, because it may hold an older one itself.
     */
    newerThan(version: number): PackedConfiguration | undefined {
        const { configurationState, log } = this.#options;
        return configurationState.version > version && log.isCurrent ? this.#packOnce() : undefined;
    }

    /** Packed once for all daemons that ask. */
    #packOnce(): PackedConfiguration | undefined {
        const configuration = this.routing()?.configuration;
        if (configuration !== undefined && this.#packed?.version !== configuration.version) {
            this.#packed = { version: configuration.version, bytes: packConfiguration(configuration) };
        }
        return this.#packed;
    }
}

/**
 * Packs a decoded configuration for other daemons: msgpack, compressed with deflate. An entry daemon that starts would
 * spend ten times as long on decoding and checking the operator's document.
 */
export const packConfiguration = (configuration: Configuration): Uint8Array =>
    deflateRawSync(encode(configuration));

/** Throws when the bytes are not those of `packConfiguration`. */
export const unpackConfiguration = (bytes: Uint8Array): Configuration =>
    decode(inflateRawSync(bytes)) as Configuration;
