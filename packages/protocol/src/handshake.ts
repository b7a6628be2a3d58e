import type { Context } from "@greengage/base";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { type RawData, WebSocket } from "ws";
import { decode, encode } from "./codec.ts";
import { PeerUnreachableError } from "./errors.ts";
import { type Hello, PROTOCOL_VERSION } from "./messages.ts";
import type { PeerAddress } from "./peers.ts";
import type { RelayRequest } from "./relay.ts";

export const CONNECT_TIMEOUT_MS = 1_000;
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const NONCE_BYTES = 16;

/** The fields of a hello that its proof covers. */
export type ProvenHello = Pick<Hello, "daemonId" | "targetId" | "relay">;

export interface HandshakeOptions {
    context: Context;
    /** Secret key that all daemons share. */
    key: string;
}

/** A connection that is being opened to a peer. */
export interface Dial {
    socket: WebSocket;
    /** Resolves when the hello has been sent. Rejects with `PeerUnreachableError` if the connection closes before that. */
    opened: Promise<void>;
}

/** Creates the random bytes that the accepting side sends first, so that a proof can't be replayed. */
export const createNonce = (): Uint8Array => randomBytes(NONCE_BYTES);

/** Creates the proof that this side knows the shared key, for one connection attempt. */
export const createProof = (
    key: string,
    nonce: Uint8Array,
    { daemonId, targetId, relay }: ProvenHello,
): Uint8Array => {
    const relayed = relay === undefined ? "" : `\n${JSON.stringify([relay.serverId, relay.address])}`;
    return createHmac("sha256", key).update(nonce).update(`${daemonId}\n${targetId}${relayed}`).digest();
};

/** Opens a connection to a peer, which closes after `timeoutMs` if no nonce has been received. */
export const dial = (
    address: PeerAddress,
    { context, key }: HandshakeOptions,
    relay?: RelayRequest,
    timeoutMs = CONNECT_TIMEOUT_MS,
): Dial => {
    const socket = new WebSocket(`ws://${address.host}:${address.port}`, {
        handshakeTimeout: timeoutMs,
        perMessageDeflate: false,
        maxPayload: MAX_FRAME_BYTES,
    });
    const opened = new Promise<void>((resolve, reject) => {
        const timer = setTimeout(() => socket.terminate(), timeoutMs);
        socket.once("error", (error) => reject(new PeerUnreachableError(address.daemonId, error)));
        socket.once("close", () => {
            clearTimeout(timer);
            reject(new PeerUnreachableError(address.daemonId));
        });
        socket.once("message", (nonce: RawData) => {
            clearTimeout(timer);
            const proven = { daemonId: context.daemonId, targetId: address.daemonId, relay };
            const proof = createProof(key, nonce as Buffer, proven);
            const hello: Hello = {
                protocolVersion: PROTOCOL_VERSION,
                daemonId: context.daemonId,
                zone: context.zone,
                targetId: address.daemonId,
                proof,
                ...(relay === undefined ? {} : { relay }),
            };
            socket.send(encode(hello));
            resolve();
        });
    });
    return { socket, opened };
};

/** Sends a nonce. Calls `onHello` with a valid hello, or with undefined for any other first message. */
export const receiveHello = (
    socket: WebSocket,
    { context, key }: HandshakeOptions,
    onHello: (hello: Hello | undefined) => void,
): void => {
    const nonce = createNonce();
    const timer = setTimeout(() => socket.terminate(), CONNECT_TIMEOUT_MS);
    socket.once("close", () => clearTimeout(timer));
    socket.once("message", (data: RawData) => {
        clearTimeout(timer);
        onHello(readHello(data as Buffer, nonce, context.daemonId, key));
    });
    socket.send(nonce);
};

const readHello = (data: Buffer, nonce: Uint8Array, daemonId: string, key: string): Hello | undefined => {
    try {
        const hello = decode(data) as Hello;
        const isAccepted = hello.protocolVersion === PROTOCOL_VERSION
            && hello.targetId === daemonId
            && isRelayValid(hello.relay)
            && isProofValid(key, nonce, hello);
        return isAccepted ? hello : undefined;
    }
    catch {
        return undefined;
    }
};

const isRelayValid = (relay: unknown): boolean => {
    const { serverId, address } = (relay ?? { serverId: "", address: "" }) as Record<string, unknown>;
    return typeof serverId === "string" && typeof address === "string";
};

const isProofValid = (key: string, nonce: Uint8Array, hello: Hello): boolean => {
    const expected = createProof(key, nonce, hello);
    return hello.proof.length === expected.length && timingSafeEqual(hello.proof, expected);
};
