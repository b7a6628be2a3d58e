import { sleep } from "@greengage/base";
import { freePorts, waitFor } from "@greengage/faults";
import type { ExecutionContext } from "ava";
import type { IncomingMessage } from "node:http";
import { type EngineFleet, PlatformEngine, sharedPartsOf } from "./engine.ts";
import type { PlatformFixture } from "./fixtures.ts";

const ENGINES_PER_GROUP = 2;
/** Time from a crash to the start of the next engine at the same port. */
const RESTART_MS = 3_000;
const FIRST_EVENT_MS = 120;
const EVENT_COUNT = 8;
const EVENT_GAP_MS = 25;

/** A request that arrived at an engine. */
export interface Arrival {
    requestId: string;
    parts: string[];
    path: string;
    /** From `performance.now()`. */
    atMs: number;
}

/** Engines of one service that crash on deadly prompt parts or requests and come back at the same port with a new id. */
export class CrashingEngines implements EngineFleet {
    readonly engines = new Map<string, PlatformEngine>();
    readonly modelSizes = { m: ENGINES_PER_GROUP };
    readonly deadlyParts = new Set<string>();
    readonly deadlyPaths = new Set<string>();
    readonly arrivals: Arrival[] = [];
    /** Times of crashes, from `performance.now()`. */
    readonly crashTimesMs: number[] = [];
    readonly violations: string[] = [];
    readonly #control: string;
    readonly #sendsHeadEarly: boolean;
    /** Undefined for plain servers. */
    readonly #domain: string | undefined;
    #startCount = 0;
    #isStopped = false;

    constructor(control: string, sendsHeadEarly: boolean, domain?: string) {
        this.#control = control;
        this.#sendsHeadEarly = sendsHeadEarly;
        this.#domain = domain;
    }

    /** Starts engines for the given number of groups. */
    static async start(
        t: ExecutionContext,
        { control }: PlatformFixture,
        { groupCount, sendsHeadEarly }: { groupCount: number; sendsHeadEarly: boolean; },
    ): Promise<CrashingEngines> {
        const fleet = new CrashingEngines(control, sendsHeadEarly, "d0");
        t.teardown(() => fleet.stop());
        // Ports outside of the ephemeral range, so that no outgoing connection takes one while its engine is down.
        for (const port of await freePorts(groupCount * ENGINES_PER_GROUP)) {
            await fleet.#startEngine(port);
        }
        return fleet;
    }

    /** Starts servers of the plain service. */
    static async startPlain(
        t: ExecutionContext,
        { control }: PlatformFixture,
        serverCount: number,
    ): Promise<CrashingEngines> {
        const fleet = new CrashingEngines(control, false);
        t.teardown(() => fleet.stop());
        for (const port of await freePorts(serverCount)) {
            await fleet.#startEngine(port);
        }
        return fleet;
    }

    stop(): void {
        this.#isStopped = true;
        this.engines.forEach((engine) => engine.stop());
    }

    /** Heads of the groups that are being served. */
    get heads(): PlatformEngine[] {
        return [...this.engines.values()].filter(({ member }) => member.acceptsRequests);
    }

    async waitForGroups(groupCount: number): Promise<void> {
        await waitFor(`${groupCount} groups`, () => this.heads.length >= groupCount ? true : undefined);
    }

    onRun(): void {
        // Arrivals are counted instead, as they include requests that an engine rejects.
    }

    onViolation(rule: string, detail: string): void {
        this.violations.push(`${rule}: ${detail}`);
    }

    onArrival(_: string, message: IncomingMessage): void {
        this.arrivals.push({
            requestId: String(message.headers["greengageridge-request-id"]),
            parts: sharedPartsOf(message),
            path: message.url ?? "",
            atMs: performance.now(),
        });
    }

    onCrash({ port }: PlatformEngine): void {
        this.crashTimesMs.push(performance.now());
        void sleep(RESTART_MS).then(() => this.#startEngine(port));
    }

    async #startEngine(port: number): Promise<void> {
        if (this.#isStopped) {
            return;
        }
        this.#startCount += 1;
        const engine = new PlatformEngine({
            id: `${this.#domain ?? "s"}-${this.#startCount}`,
            service: this.#domain === undefined ? "ledger" : "llm",
            domain: this.#domain,
            control: this.#control,
            port,
            fleet: this,
        });
        engine.firstEventMs = FIRST_EVENT_MS;
        engine.sendsHeadEarly = this.#sendsHeadEarly;
        engine.eventCount = EVENT_COUNT;
        engine.eventGapMs = EVENT_GAP_MS;
        await engine.listen();
    }
}
