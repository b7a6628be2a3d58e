import { Packr, Unpackr } from "msgpackr";

// Records are a private extension of msgpackr; plain maps keep the frames readable by other codecs.
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a value as msgpack. */
export const encode = (value: unknown): Uint8Array => packr.pack(value);

/** Decodes msgpack. Throws when the bytes are not valid msgpack. */
export const decode = (bytes: Uint8Array): unknown => packr.unpack(bytes);

/**
 * Encodes the frames of one direction of a connection. The field names of each shape of message go out once; later
 * frames refer to them, so frames must be decoded by one FrameDecoder, all of them and in order.
 */
export class FrameEncoder {
    readonly #packr = new Packr({ sequential: true });

    encode(value: unknown): Uint8Array {
        return this.#packr.pack(value);
    }
}

/** Decodes the frames of one FrameEncoder. */
export class FrameDecoder {
    readonly #unpackr = new Unpackr({ sequential: true });

    /** Throws when the bytes are not valid; the frames that follow can't be decoded then. */
    decode(bytes: Uint8Array): unknown {
        return this.#unpackr.unpack(bytes);
    }
}
