import { Packr, Unpackr } from "msgpackr";

// Records are an extension of msgpackr. Plain maps can be decoded by any msgpack library.
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a value as msgpack. */
export const encode = (value: unknown): Uint8Array => packr.pack(value);

/** Decodes a msgpack value. Throws if the bytes are malformed. */
export const decode = (bytes: Uint8Array): unknown => packr.unpack(bytes);

/**
 * Encodes the frames of one direction of a connection. The field names of each message structure are sent once, and
 * later frames refer to them, so a single FrameDecoder must decode all the frames in order.
 */
export class FrameEncoder {
    readonly #packr = new Packr({ sequential: true });

    encode(value: unknown): Uint8Array {
        return this.#packr.pack(value);
    }
}

/** Decodes the frames of a FrameEncoder. */
export class FrameDecoder {
    readonly #unpackr = new Unpackr({ sequential: true });

    /** Throws if the bytes are malformed. Later frames can't be decoded after that. */
    decode(bytes: Uint8Array): unknown {
        return this.#unpackr.unpack(bytes);
    }
}
