import { monotonicMs } from "@greengage/base";
import { RelayError, RelayRefusal, type RelayRequest } from "@greengage/protocol";
import { FailureKind, PathVerdict, type RelayedConnection } from "@greengage/routing";
import { Attempt, type AttemptOptions, type AttemptOutcome } from "./attempt.ts";
import type { GatewayDependencies } from "./dependencies.ts";
import type { ServerHead, ServerRequest } from "./types.ts";

/** Connections through peers that are opened for one attempt, if they break before the write. */
const MAX_RELAYED_CONNECTIONS = 2;

export interface PathAttemptOptions
    extends Omit<AttemptOptions, "client" | "serverRequest" | "name" | "dialect"> {
    server: RelayRequest;
    /** Start of the server's process, if known. */
    bornMs: number | undefined;
    /** Name of the server or group in error messages. */
    name: string;
    /** Creates the request with the remaining time; called for each connection. */
    createRequest: () => ServerRequest;
    /** Whether a direct connection may be one that was used before. */
    usesPool: boolean;
    /** Records a line of the decision log about the request. */
    record: (event: string, fields: Record<string, string | undefined>) => void;
}

/** What ends and slows down an attempt that is running. */
export interface RunningAttempt {
    /** Ends the exchange and closes its connection. */
    fail(kind: FailureKind, reason: string): void;
    pause(): void;
    resume(): void;
}

/** Whether not a byte of the request has been written, as no connection has opened. */
export const isUnopened = (outcome: AttemptOutcome): boolean =>
    outcome.kind === "notRun" && outcome.head === undefined && outcome.isWithheld !== true;

/**
 * One attempt at a request over either path to its server. A direct connection that doesn't open is replaced by one through
 * a peer; the request is written at most once.
 */
export class PathAttempt implements RunningAttempt {
    readonly #deps: GatewayDependencies;
    readonly #options: PathAttemptOptions;
    #attempt: Attempt | undefined;
    #hasEnded = false;
    #relayId: string | undefined;
    #isPathLost = false;

    constructor(deps: GatewayDependencies, options: PathAttemptOptions) {
        this.#deps = deps;
        this.#options = options;
    }

    get server(): RelayRequest {
        return this.#options.server;
    }

    /** Peer that relays the connection; undefined for a direct one. */
    get relayId(): string | undefined {
        return this.#relayId;
    }

    /** Whether the request has been written to a direct connection, and waits for its response. */
    get isOnDirectPath(): boolean {
        return this.#relayId === undefined && this.#attempt?.hasWritten === true;
    }

    /** Whether the request has failed after its write only because its path was lost: the server is up. */
    get isPathLost(): boolean {
        return this.#isPathLost;
    }

    /** Fields that describe the path in the decision log. */
    get pathFields(): { path: string; relay: string | undefined; isPathLost: true | undefined; } {
        return {
            path: this.#relayId === undefined ? "direct" : "relay",
            relay: this.#relayId,
            isPathLost: this.#isPathLost || undefined,
        };
    }

    /** Runs the attempt to its end. Never rejects. */
    async run(): Promise<AttemptOutcome> {
        const outcome = await this.#runOnEitherPath();
        if (outcome.kind === "failed" && outcome.failure === FailureKind.Broken && !this.#hasEnded) {
            this.#isPathLost = await this.#deps.paths.verify(this.#options.server) === PathVerdict.Lost;
        }
        if (!this.#hasEnded) {
            this.#deps.reachability.record(this.#options.server.address, !isUnopened(outcome));
        }
        return outcome;
    }

    fail(kind: FailureKind, reason: string): void {
        this.#hasEnded = true;
        this.#attempt?.fail(kind, reason);
    }

    /** Ends the exchange because its path is lost, so that the request goes on over the other one. */
    losePath(reason: string): void {
        this.#isPathLost = true;
        this.fail(FailureKind.Broken, reason);
    }

    pause(): void {
        this.#attempt?.pause();
    }

    resume(): void {
        this.#attempt?.resume();
    }

    async #runOnEitherPath(): Promise<AttemptOutcome> {
        const { paths } = this.#deps;
        const { server } = this.#options;
        let refusal: RelayRefusal | undefined;
        if (paths.prefersRelay(server.address)) {
            const relayed = await this.#runRelayed(undefined);
            if (relayed.kind !== "refused" || relayed.refusal === RelayRefusal.ServerUnreachable) {
                return asOutcome(relayed);
            }
            refusal = relayed.refusal;
        }
        if (this.#hasEnded) {
            return notRun("the request has ended");
        }
        const direct = await this.#runDirect();
        if (!isUnopened(direct) || this.#hasEnded || refusal !== undefined) {
            return direct;
        }
        const relayed = await this.#runRelayed(direct.kind === "notRun" ? direct.reason : "");
        return relayed.kind === "refused" ? direct : relayed;
    }

    async #runDirect(): Promise<AttemptOutcome> {
        const { pools } = this.#deps;
        const { server, usesPool, closesConnection } = this.#options;
        const origin = originOf(server);
        if (usesPool) {
            return await this.#runOver({ client: pools.get(origin, monotonicMs()), closesConnection });
        }
        const client = pools.createSingleUse(origin);
        const outcome = await this.#runOver({ client, closesConnection });
        void client.destroy();
        return outcome;
    }

    /** Runs the attempt through peers. `directFailure`: why the direct connection has not opened, if it was tried. */
    async #runRelayed(directFailure: string | undefined): Promise<AttemptOutcome | RefusedRelay> {
        let outcome: AttemptOutcome = notRun("the request has ended");
        for (let count = 0; count < MAX_RELAYED_CONNECTIONS && !this.#hasEnded; count += 1) {
            const connection = await this.#openRelayed(directFailure);
            if ("kind" in connection) {
                return count === 0 ? connection : outcome;
            }
            outcome = await this.#runOverRelay(connection, directFailure);
            if (!isUnopened(outcome)) {
                return outcome;
            }
        }
        return outcome;
    }

    async #openRelayed(directFailure: string | undefined): Promise<RelayedConnection | RefusedRelay> {
        const { paths, context } = this.#deps;
        const { server, record } = this.#options;
        try {
            const connection = await paths.openRelayed(server, directFailure);
            record("request.relayed", { relay: connection.relayId, server: server.serverId, directFailure });
            context.metrics.count("paths.relayed_attempts");
            return connection;
        }
        catch (error) {
            const refusal = error instanceof RelayError ? error.refusal : RelayRefusal.PeerUnreachable;
            record("request.notRelayed", { server: server.serverId, reason: refusal, directFailure });
            return { kind: "refused", refusal };
        }
    }

    async #runOverRelay(
        { stream, relayId }: RelayedConnection,
        directFailure: string | undefined,
    ): Promise<AttemptOutcome> {
        const { pools, paths } = this.#deps;
        const { server } = this.#options;
        if (this.#hasEnded) {
            stream.destroy();
            return notRun("the request ended while a peer opened the connection");
        }
        this.#relayId = relayId;
        const client = pools.createRelayed(originOf(server), stream);
        const outcome = await this.#runOver({ client, closesConnection: true }, (head) => {
            if (directFailure !== undefined) {
                paths.recordRelayed(server, relayId, directFailure);
            }
            this.#passSignals(relayId, head);
        });
        void client.destroy();
        stream.destroy();
        return outcome;
    }

    async #runOver(
        connection: Pick<AttemptOptions, "client" | "closesConnection">,
        onRelayedHead?: (head: ServerHead) => void,
    ): Promise<AttemptOutcome> {
        const { createRequest, onSignals } = this.#options;
        this.#attempt = new Attempt({
            ...this.#options,
            ...connection,
            dialect: this.#deps.dialect,
            serverRequest: createRequest(),
            onSignals: (head, sentAtMs) => {
                onSignals(head, sentAtMs);
                onRelayedHead?.(head);
            },
        });
        const outcome = await this.#attempt.run();
        this.#attempt = undefined;
        return outcome;
    }

    /** Tells the relay what the server wants of the daemon from which the request came. */
    #passSignals(relayId: string, { isLeaving, pause }: ServerHead): void {
        if (isLeaving || pause?.pauseMs !== undefined) {
            this.#deps.onRelayedSignals(relayId, {
                serverId: this.#options.server.serverId,
                bornMs: this.#options.bornMs,
                isLeaving,
                pauseMs: pause?.pauseMs,
            });
        }
    }
}

/** No peer has opened a connection to the server. */
interface RefusedRelay {
    kind: "refused";
    refusal: RelayRefusal;
}

const notRun = (reason: string): AttemptOutcome => ({ kind: "notRun", reason });

const asOutcome = (relayed: AttemptOutcome | RefusedRelay): AttemptOutcome =>
    relayed.kind === "refused" ? notRun(`no peer could relay the connection: ${relayed.refusal}`) : relayed;

const originOf = ({ address }: RelayRequest): string => `http://${address}`;
