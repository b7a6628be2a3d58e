import { type Lifecycle, messageOf } from "@greengage/base";

/** One part of a daemon that is started and closed. */
export interface Component {
    /** Named in the error when the part fails to start. */
    name: string;
    start(): void | Promise<void>;
    close(): void | Promise<void>;
}

/** A part of the daemon could not start. */
export class StartError extends Error {
    constructor(part: string, cause: unknown) {
        super(`the part "${part}" could not start: ${messageOf(cause)}`, { cause });
        this.name = "StartError";
    }
}

/** Starts parts in order and registers their closing. Throws StartError for the first that fails. */
export const startInOrder = async (components: readonly Component[], lifecycle: Lifecycle): Promise<void> => {
    for (const component of components) {
        try {
            await component.start();
        }
        catch (error) {
            throw new StartError(component.name, error);
        }
        lifecycle.onClose(() => component.close());
    }
};
