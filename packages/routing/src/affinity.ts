import type { GroupView } from "@greengage/protocol";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Only the start of a conversation is hashed, as requests of one application or conversation share it. */
const MAX_PREFIX_CHARS = 1_024;
/** Recomputing a shorter prefix costs less than sending its request to another group. */
const MIN_PREFIX_CHARS = 256;

let hasher: XXHashAPI | undefined;
// Requests are routed without prefix affinity until the WebAssembly module is compiled.
void xxhash().then((loaded) => {
    hasher = loaded;
});

interface ChatMessage {
    role?: unknown;
    content?: unknown;
}

/** Hash of the start of a conversation; undefined if it is too short to benefit from prefix caching. */
export const prefixKey = (body: Record<string, unknown>): number | undefined => {
    const messages = body["messages"];
    if (hasher === undefined || !Array.isArray(messages)) {
        return undefined;
    }
    let prefix = "";
    for (const message of messages as ChatMessage[]) {
        const content = typeof message?.content === "string"
            ? message.content
            : JSON.stringify(message?.content ?? "");
        prefix += `${String(message?.role)}:${content.slice(0, MAX_PREFIX_CHARS)}\n`;
        if (prefix.length >= MAX_PREFIX_CHARS) {
            break;
        }
    }
    return prefix.length < MIN_PREFIX_CHARS ? undefined : hasher.h32(prefix.slice(0, MAX_PREFIX_CHARS));
};

/** Sorts ids by preference for a key (rendezvous hashing): adding or removing an id remaps a minimum of keys. */
export const rendezvousIds = (ids: readonly string[], key: string): string[] => {
    const weightOf = (id: string): number => hasher?.h32(`${id}\n${key}`) ?? 0;
    return [...ids].sort().map((id) => ({ id, weight: weightOf(id) })).sort((a, b) => b.weight - a.weight)
        .map(({ id }) => id);
};

/** Sorts groups by preference for a key (rendezvous hashing): adding or removing one remaps a minimum of keys. */
export const rendezvousGroups = (groups: readonly GroupView[], key: number): GroupView[] => {
    const api = hasher;
    if (api === undefined) {
        return [...groups];
    }
    return groups.map((group) => ({ group, weight: api.h32(group.groupId, key) }))
        .sort((a, b) => b.weight - a.weight)
        .map(({ group }) => group);
};
