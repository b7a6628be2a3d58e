/**
 * Assertions that don't read the source. To word a failed assertion that has no message, Node.js reads and parses the file
 * that holds it, which blocks a daemon for seconds if that file is its bundle.
 */
import original from "node:assert";

const MESSAGE = "an assertion failed";

const assert = (value, message = MESSAGE) => {
    if (value) {
        return;
    }
    if (message instanceof Error) {
        throw message;
    }
    throw new original.AssertionError({
        message,
        actual: value,
        expected: true,
        operator: "==",
        stackStartFn: assert,
    });
};

const strict = Object.assign((value, message) => assert(value, message), original.strict, { ok: assert });
strict.strict = strict;

export default Object.assign((value, message) => assert(value, message), original, { ok: assert, strict });
