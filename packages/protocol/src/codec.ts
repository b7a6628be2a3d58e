import { Packr } from "msgpackr";

// Records are a private extension of msgpackr; plain maps keep the frames readable by other codecs.
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a value as msgpack. */
export const encode = (value: unknown): Uint8Array => packr.pack(value);

/** Decodes msgpack. Throws when the bytes are not valid msgpack. */
export const decode = (bytes: Uint8Array): unknown => packr.unpack(bytes);
