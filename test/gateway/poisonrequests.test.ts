import { ErrorCode, Verdict } from "@greengage/base";
import { RouteKind } from "@greengage/configuration";
import { waitFor } from "@greengage/faults";
import type { CrashLeader } from "@greengage/gateway";
import { type PartReport, requestCulpritId, type ServerCrash, type Suspect } from "@greengage/protocol";
import { fingerprintOf } from "@greengage/routing";
import test, { type ExecutionContext } from "ava";
import { buildRoute } from "../configuration/fixtures.ts";
import {
    createGateway,
    type FakeServer,
    type GatewayFixture,
    type RequestHandler,
    startServer,
    viewOf,
    writeHead,
} from "./fixtures.ts";

const TARGET = "/stock/1";
const DEADLY_BODY = Buffer.from("deadly");

const culpritIdOf = (body: Buffer): string =>
    requestCulpritId(fingerprintOf({
        scope: "a.example",
        organisation: "kiosks",
        method: "POST",
        target: TARGET,
        body,
    }));

/** Resets the connection, like a server that crashes when it begins to run the request. */
const crash: RequestHandler = (_, response) => response.socket?.resetAndDestroy();

const respond: RequestHandler = (request, response) => {
    writeHead(request, response);
    response.end("done");
};

interface ServiceFixture extends GatewayFixture {
    servers: FakeServer[];
    reports: PartReport[];
    publish: (suspectParts: Suspect[]) => void;
    sendBody: (body: Buffer) => ReturnType<GatewayFixture["send"]>;
}

interface ServiceOptions {
    kind?: RouteKind;
    /** Whether a leader accepts reports. */
    hasLeader?: boolean;
    /** Whether the leader finds the reported servers crashed. */
    confirms?: boolean;
}

/** A gateway before three servers of a plain service that handle requests with `handler`. */
const startService = async (
    t: ExecutionContext,
    handler: RequestHandler,
    { kind = RouteKind.Safe, hasLeader = true, confirms = true }: ServiceOptions = {},
): Promise<ServiceFixture> => {
    const servers = await Promise.all([0, 1, 2].map(() => startServer(t, handler)));
    const reports: PartReport[] = [];
    const crashLeader: CrashLeader = {
        report: async (report) => {
            reports.push(report);
            const crashedServerIds = (report.serverCrashes ?? []).map(({ serverId }) => serverId);
            const confirmed = confirms ? { crashedServerIds } : {};
            return hasLeader ? { isAccepted: true, crashedEpochs: [], ...confirmed } : undefined;
        },
        requestTrial: async () => true,
    };
    const route = buildRoute({ kind, pathPrefix: "/stock/", shares: [{ service: "ledger", weight: 1 }] });
    const options = { servers, crashLeader, configuration: { routes: [route] } };
    const fixture = createGateway(t, options);
    let version = 1;
    return {
        ...fixture,
        servers,
        reports,
        publish: (suspectParts) => {
            version += 1;
            fixture.gateway.applyView({ ...viewOf(options), version, suspectParts });
        },
        sendBody: (body) => fixture.send({ target: TARGET, body, generation: undefined }),
    };
};

const receivedCount = (servers: readonly FakeServer[]): number =>
    servers.reduce((sum, { received }) => sum + received.length, 0);

const crashesOf = (reports: readonly PartReport[]): ServerCrash[] =>
    reports.flatMap(({ serverCrashes = [] }) => serverCrashes);

const quarantinedRequest = (body: Buffer): Suspect => ({
    service: "ledger",
    partId: culpritIdOf(body),
    isQuarantined: true,
    isTrialDue: false,
    trialDelayMs: 60_000,
});

for (const kind of [RouteKind.Safe, RouteKind.Unsafe]) {
    test(`nobody is told which ${kind} request a plain server crashed under`, async (t) => {
        const { sendBody, reports, servers } = await startService(t, crash, { kind });
        t.is((await sendBody(DEADLY_BODY)).error?.verdict, Verdict.MayHaveRun);
        const crashes = crashesOf(reports);
        t.is(crashes.length, receivedCount(servers));
        for (const { service, requests } of crashes) {
            t.is(service, "ledger");
            t.deepEqual(requests, [{ partIds: [culpritIdOf(DEADLY_BODY)], hasHead: false }]);
        }
    });

    test(`a quarantined ${kind} request still takes a place at a plain server`, async (t) => {
        const { sendBody, publish, servers } = await startService(t, respond, { kind });
        publish([quarantinedRequest(DEADLY_BODY)]);
        const { error } = await sendBody(DEADLY_BODY);
        t.is(error?.code, ErrorCode.Quarantined);
        t.is(error?.verdict, Verdict.NotRun);
        t.is(error?.retryAfterMs, 60_000);
        t.is(receivedCount(servers), 0);
        t.is((await sendBody(Buffer.from("other"))).text, "done", "other requests of the caller are served");
    });
}

test("a request that is quarantined after its first run is answered as not run", async (t) => {
    const { sendBody, publish, servers } = await startService(t, (request, response) => {
        publish([quarantinedRequest(DEADLY_BODY)]);
        crash(request, response);
    });
    t.is((await sendBody(DEADLY_BODY)).error?.verdict, Verdict.MayHaveRun);
    t.is(receivedCount(servers), 1);
});

test("a request that has crashed a plain server before goes from one server to the next", async (t) => {
    const { sendBody, publish, servers } = await startService(t, crash);
    publish([{ ...quarantinedRequest(DEADLY_BODY), isQuarantined: false }]);
    t.is((await sendBody(DEADLY_BODY)).error?.verdict, Verdict.MayHaveRun);
    t.is(receivedCount(servers), 1);
});

test("a trial that crashes a plain server goes to the next server", async (t) => {
    const { sendBody, publish, servers } = await startService(t, crash);
    publish([{ ...quarantinedRequest(DEADLY_BODY), isTrialDue: true }]);
    t.is((await sendBody(DEADLY_BODY)).error?.verdict, Verdict.MayHaveRun);
    t.is(receivedCount(servers), 1);
});

test("a connection that fails alone gets a request rejected", async (t) => {
    const { sendBody, servers } = await startService(t, crash, { hasLeader: true, confirms: false });
    await sendBody(DEADLY_BODY);
    const count = receivedCount(servers);
    t.not((await sendBody(DEADLY_BODY)).error?.code, ErrorCode.Quarantined);
    t.true(receivedCount(servers) > count);
});

test("a request crashes one server after the other while no leader is known", async (t) => {
    const { sendBody, servers } = await startService(t, crash, { hasLeader: false });
    await sendBody(DEADLY_BODY);
    t.is(receivedCount(servers), 2);
    const { error } = await sendBody(DEADLY_BODY);
    t.is(error?.code, ErrorCode.Quarantined);
    t.is(error?.verdict, Verdict.NotRun);
    t.is(receivedCount(servers), 2);
});

const waitForServedReport = (reports: readonly PartReport[]): Promise<true> =>
    waitFor(
        "the report of the answer",
        () =>
            reports.some(({ served }) =>
                served.some(({ partIds, isComplete }) =>
                    isComplete === true && partIds[0] === culpritIdOf(DEADLY_BODY)
                )
            ) || undefined,
    );

test("a request that was answered after a crash stays a suspect", async (t) => {
    let crashCount = 0;
    const { sendBody, reports } = await startService(t, (request, response) => {
        crashCount += 1;
        (crashCount === 1 ? crash : respond)(request, response);
    });
    t.is((await sendBody(DEADLY_BODY)).text, "done");
    await waitForServedReport(reports);
    t.pass();
});

// Guards against popular requests that are rejected because several servers crash at once.
test("a leader takes a request that was answered before a crash for a new one", async (t) => {
    const { sendBody, publish, reports } = await startService(t, respond);
    t.is((await sendBody(DEADLY_BODY)).text, "done");
    publish([{ ...quarantinedRequest(DEADLY_BODY), isQuarantined: false }]);
    await waitForServedReport(reports);
    t.pass();
});
