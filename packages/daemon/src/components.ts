import { type Lifecycle, messageOf } from "@greengage/base";

/** Part of a daemon with its own start and close. */
export interface Component {
    /** Shown in the error when the start fails. */
    name: string;
    start(): void | Promise<void>;
    close(): void | Promise<void>;
}

/** Thrown when a component of the daemon fails to start. */
export class StartError extends Error {
    constructor(componentName: string, cause: unknown) {
        super(`the part "${componentName}" could not start: ${messageOf(cause)}`, { cause });
        this.name = "StartError";
    }
}

/** Starts components in order and registers their cleanup. Throws StartError at the first failure. */
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
