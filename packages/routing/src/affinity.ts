import type { GroupView } from "@greengage/protocol";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** The first part of the conversation: what requests of one application or one conversation share. */
const PREFIX_CHARS = 1_024;
/** The prompt of a shorter prefix is computed faster than a detour costs. */
const PREFIX_MIN_CHARS = 256;

let hasher: XXHashAPI | undefined;
// Until the module is compiled, requests are routed without affinity.
void xxhash().then((loaded) => {
    hasher = loaded;
});

interface ChatMessage {
    role?: unknown;
    content?: unknown;
}

/** Hash of the first part of a conversation, or undefined when it is too short to be worth a cached prefix. */
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
        prefix += `${String(message?.role)}:${content.slice(0, PREFIX_CHARS)}\n`;
        if (prefix.length >= PREFIX_CHARS) {
            break;
        }
    }
    return prefix.length < PREFIX_MIN_CHARS ? undefined : hasher.h32(prefix.slice(0, PREFIX_CHARS));
};

/** Rendezvous hashing: ids by preference for a key. A change of ids moves only the keys it must. */
export const rendezvousIds = (ids: readonly string[], key: string): string[] => {
    const weightOf = (id: string): number => hasher?.h32(`${id}\n${key}`) ?? 0;
    return [...ids].sort().map((id) => ({ id, weight: weightOf(id) })).sort((a, b) => b.weight - a.weight)
        .map(({ id }) => id);
};

/** Rendezvous hashing: the groups by preference for a key. A change of groups moves only the keys it must. */
export const rendezvousOrder = (groups: readonly GroupView[], key: number): GroupView[] => {
    const api = hasher;
    if (api === undefined) {
        return [...groups];
    }
    return groups.map((group) => ({ group, weight: api.h32(group.groupId, key) }))
        .sort((a, b) => b.weight - a.weight)
        .map(({ group }) => group);
};
