import { type Context, LogPart, messageOf } from "@greengage/base";
import type { Configuration, ConfigurationState, RoutingTable } from "@greengage/configuration";
import type { RaftLog } from "@greengage/consensus";
import { decode, encode, type PackedConfiguration } from "@greengage/protocol";
import { deflateRawSync, inflateRawSync } from "node:zlib";

export interface ConfigurationSourceOptions {
    context: Context;
    log: RaftLog;
    configurationState: ConfigurationState;
    /** Decodes an accepted configuration. Throws if the document is invalid. */
    decode: (document: Uint8Array) => RoutingTable;
}

/** Provides the configuration in force to this control daemon and to the daemons that watch it. */
export class ConfigurationSource {
    readonly #options: ConfigurationSourceOptions;
    #routing: RoutingTable | undefined;
    #decodedVersion = 0;
    #packed: PackedConfiguration | undefined;

    constructor(options: ConfigurationSourceOptions) {
        this.#options = options;
    }

    /**
     * Routing table of the configuration in force; undefined before the first one. Decoded on demand, because a start
     * replays many configurations.
     */
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
            context.logs(LogPart.Table).error("failed to decode an accepted configuration", {
                version: latest.version,
                reason: messageOf(error),
            });
        }
        return this.#routing;
    }

    /**
     * The packed configuration if it is newer than `version`. A daemon that has just started returns undefined until
     * its log has caught up, because its own configuration may be outdated.
     */
    newerThan(version: number): PackedConfiguration | undefined {
        const { configurationState, log } = this.#options;
        return configurationState.version > version && log.isCurrent ? this.#packOnce() : undefined;
    }

    /** Packs each configuration version once and caches the result. */
    #packOnce(): PackedConfiguration | undefined {
        const configuration = this.routing()?.configuration;
        if (configuration !== undefined && this.#packed?.version !== configuration.version) {
            this.#packed = { version: configuration.version, bytes: packConfiguration(configuration) };
        }
        return this.#packed;
    }
}

/**
 * Serializes a decoded configuration for other daemons as deflate-compressed msgpack. Parsing and validating the
 * operator's document instead would take an entry daemon ten times as long at start.
 */
export const packConfiguration = (configuration: Configuration): Uint8Array =>
    deflateRawSync(encode(configuration));

/** Reverses `packConfiguration`. Throws if the bytes are malformed. */
export const unpackConfiguration = (bytes: Uint8Array): Configuration =>
    decode(inflateRawSync(bytes)) as Configuration;
