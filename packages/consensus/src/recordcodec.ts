import { decode, encode } from "@greengage/protocol";
import xxhash from "xxhash-wasm";

const MAGIC = 0x47475231;
const HEADER_BYTES = 16;

type Hash = (bytes: Uint8Array, seed: bigint) => bigint;

/** Records decoded from a file. */
export interface DecodedRecords {
    records: unknown[];
    /** Length of the prefix that consists of complete records. */
    validBytes: number;
    /** Whether complete records follow the damaged bytes, which rules out a torn last write. */
    hasRecordsAfterDamage: boolean;
}

/** Encodes and decodes records: magic number, payload length, xxHash of length and payload, msgpack payload. */
export class RecordCodec {
    readonly #hash: Hash;

    constructor(hash: Hash) {
        this.#hash = hash;
    }

    static async create(): Promise<RecordCodec> {
        const { h64Raw } = await xxhash();
        return new RecordCodec(h64Raw);
    }

    encode(value: unknown): Buffer {
        const payload = encode(value);
        const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
        record.writeUInt32BE(MAGIC, 0);
        record.writeUInt32BE(payload.length, 4);
        record.writeBigUInt64BE(this.#hash(payload, BigInt(payload.length)), 8);
        record.set(payload, HEADER_BYTES);
        return record;
    }

    decode(file: Buffer): DecodedRecords {
        const records: unknown[] = [];
        let offset = 0;
        for (;;) {
            const payload = this.#payloadAt(file, offset);
            if (payload === undefined) {
                break;
            }
            records.push(decode(payload));
            offset += HEADER_BYTES + payload.length;
        }
        return { records, validBytes: offset, hasRecordsAfterDamage: this.#hasRecordAfter(file, offset + 1) };
    }

    #payloadAt(file: Buffer, offset: number): Buffer | undefined {
        if (offset + HEADER_BYTES > file.length || file.readUInt32BE(offset) !== MAGIC) {
            return undefined;
        }
        const start = offset + HEADER_BYTES;
        const end = start + file.readUInt32BE(offset + 4);
        if (end > file.length) {
            return undefined;
        }
        const payload = file.subarray(start, end);
        const expected = file.readBigUInt64BE(offset + 8);
        return this.#hash(payload, BigInt(payload.length)) === expected ? payload : undefined;
    }

    #hasRecordAfter(file: Buffer, fromOffset: number): boolean {
        const magic = Buffer.allocUnsafe(4);
        magic.writeUInt32BE(MAGIC, 0);
        let offset = file.indexOf(magic, fromOffset);
        while (offset >= 0) {
            if (this.#payloadAt(file, offset) !== undefined) {
                return true;
            }
            offset = file.indexOf(magic, offset + 1);
        }
        return false;
    }
}
