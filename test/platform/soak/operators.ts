import { monotonicMs, type Random, sleep } from "@greengage/base";
import type { Violations } from "@greengage/bench";
import { request } from "undici";
import { wireConfiguration } from "../fixtures.ts";
import type { SoakDaemon } from "./system.ts";

const MAX_PAUSE_MS = 900;
const ANSWER_TIMEOUT_MS = 3_000;
/** Time after an acknowledgement in which a read may still return an older configuration. */
const PROPAGATION_LIMIT_MS = 2_500;

/** Replaces the single model of the test configuration. */
const MODELS = [
    { name: "large", size: 3, share: 0.6, pace: 1, load_s: 1, warm_s: 0.2 },
    { name: "small", size: 2, share: 0.4, pace: 0.6, load_s: 1, warm_s: 0.2 },
];

const documentOf = (version: number): string => {
    const configuration = wireConfiguration(version) as { services: { engine?: object; }[]; };
    const services = configuration.services.map((service) =>
        service.engine === undefined ? service : { ...service, engine: { ...service.engine, models: MODELS } }
    );
    return JSON.stringify({ ...configuration, services });
};

/** Operators that replace and read the configuration at random control daemons, and check that no replacement is lost. */
export class SoakOperators {
    readonly #controls: readonly SoakDaemon[];
    readonly #random: Random;
    readonly #violations: Violations;
    readonly #acknowledged: { version: number; atMs: number; }[] = [];
    #version = 1;

    constructor(controls: readonly SoakDaemon[], random: Random, violations: Violations) {
        this.#controls = controls;
        this.#random = random;
        this.#violations = violations;
    }

    get acknowledgedCount(): number {
        return this.#acknowledged.length;
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.replace();
            await this.read(this.#random.pick(this.#controls));
            await sleep(this.#random.nextInt(MAX_PAUSE_MS), signal);
        }
    }

    /** Sends a newer version to a random control daemon. Returns whether it was acknowledged. */
    async replace(): Promise<boolean> {
        this.#version += 1 + this.#random.nextInt(3);
        const version = this.#version;
        const control = this.#random.pick(this.#controls);
        const answer = await call(control, "Config.Replace", documentOf(version));
        if (answer?.status === 200) {
            this.#acknowledged.push({ version, atMs: monotonicMs() });
        }
        if (answer !== undefined && answer.status >= 400 && answer.status < 500) {
            this.#violations.add(
                "CONFIG",
                `a valid configuration was rejected with status ${answer.status}: ${answer.text}`,
            );
        }
        return answer?.status === 200;
    }

    /** Reads and checks the configuration of one control daemon. Returns whether it could be read. */
    async read(control: SoakDaemon): Promise<boolean> {
        const sentAtMs = monotonicMs();
        const answer = await call(control, "Config.Describe");
        if (answer?.status !== 200) {
            return false;
        }
        const { version } = JSON.parse(answer.text) as { version: number; };
        const minimumVersion = Math.max(
            0,
            ...this.#acknowledged.filter(({ atMs }) => atMs < sentAtMs - PROPAGATION_LIMIT_MS).map((
                acknowledged,
            ) => acknowledged.version),
        );
        if (version < minimumVersion) {
            this.#violations.add(
                "CONFIG",
                `${control.name} returns version ${version} after ${minimumVersion} was acknowledged`,
            );
        }
        if (answer.text !== documentOf(version)) {
            this.#violations.add(
                "CONFIG",
                `${control.name} returns different content for version ${version}`,
            );
        }
        return true;
    }
}

const call = async (
    { address }: SoakDaemon,
    method: string,
    body?: string,
): Promise<{ status: number; text: string; } | undefined> => {
    try {
        const response = await request(`http://${address}/greengageridge/${method}`, {
            method: body === undefined ? "GET" : "POST",
            body,
            headers: { "content-type": "application/json" },
            signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        });
        return { status: response.statusCode, text: await response.body.text() };
    }
    catch {
        // A daemon under a fault may not answer; the operators continue with another daemon.
        return undefined;
    }
};
