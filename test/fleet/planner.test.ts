import {
    type CandidateVm,
    domainModelKey,
    planGroup,
    planGroupCounts,
    type PlanInput,
    planMemberStaging,
    planPreemption,
    planSpareStaging,
} from "@greengage/fleet";
import test from "ava";
import { buildEngineProfile } from "../configuration/fixtures.ts";

const profile = buildEngineProfile();
const demandByModel = new Map([["large", 0.67], ["small", 0.33]]);

const vmOf = (serverId: string, fields: Partial<CandidateVm> = {}): CandidateVm => ({
    serverId,
    fabricDomain: "d",
    zone: "z",
    lastModel: undefined,
    stagedModels: [],
    isStaging: false,
    knownForMs: Infinity,
    ...fields,
});

const inputOf = (freeVms: CandidateVm[], fields: Partial<PlanInput> = {}): PlanInput => ({
    profile,
    freeVms,
    groups: [],
    demandByModel,
    availableLoads: 8,
    hasDemand: true,
    ...fields,
});

const vms = (count: number, fields: Partial<CandidateVm> = {}): CandidateVm[] =>
    Array.from({ length: count }, (_, index) => vmOf(`v${index}`, fields));

// Guards against small groups that use up a domain before the large model has received its share.
test("six domains of 11 VMs get one group of each model each", (t) => {
    const domains = new Map(Array.from({ length: 6 }, (_, index) => [`d${index}`, 11]));
    const targetCounts = planGroupCounts(profile, demandByModel, domains);
    for (const domain of domains.keys()) {
        t.is(targetCounts.get(domainModelKey(domain, "large")), 1);
        t.is(targetCounts.get(domainModelKey(domain, "small")), 1);
    }
});

test("survivors and staged spares are used before VMs that have to load weights", (t) => {
    const survivors = vms(5, { lastModel: "large", stagedModels: ["large"] });
    const spares = [vmOf("fresh"), vmOf("staged", { stagedModels: ["large"] })];
    const targetCounts = new Map([[domainModelKey("d", "large"), 1]]);
    const plan = planGroup(inputOf([...spares, ...survivors]), targetCounts);
    t.is(plan?.loadCount, 0);
    t.is(plan?.timeToReadyMs, 1_600);
    t.true(plan?.members.some(({ serverId }) => serverId === "staged"));
});

// Guards against needless loads while the VMs of a domain return one after another: VMs with one model staged must not
// load the other one.
test("VMs of a recovering domain wait for VMs that have the weights staged", (t) => {
    const recoveringVms = vms(3, { stagedModels: ["large"], knownForMs: 100 });
    const targetCounts = new Map([[domainModelKey("d", "small"), 1]]);
    t.is(planGroup(inputOf(recoveringVms), targetCounts), undefined);
    const staged = [0, 1, 2].map((index) => vmOf(`s${index}`, { stagedModels: ["small"], knownForMs: 100 }));
    t.is(planGroup(inputOf([...recoveringVms, ...staged]), targetCounts)?.loadCount, 0);
    t.is(
        planGroup(inputOf(recoveringVms.map((vm) => ({ ...vm, knownForMs: 2_000 }))), targetCounts)
            ?.loadCount,
        3,
    );
});

test("no group is planned that needs more than the available loads", (t) => {
    const targetCounts = new Map([[domainModelKey("d", "small"), 1]]);
    t.is(planGroup(inputOf(vms(3), { availableLoads: 2 }), targetCounts), undefined);
});

test("two spares stage different models, starting with the more exposed one", (t) => {
    const counts = new Map([[domainModelKey("d", "large"), 6], [domainModelKey("d", "small"), 3]]);
    t.deepEqual(planSpareStaging(inputOf(vms(2)), counts).map(({ model }) => model.name), ["large", "small"]);
    t.deepEqual(planSpareStaging(inputOf(vms(1)), counts).map(({ model }) => model.name), ["large"]);
});

// Guards against a last spare that stays staged for the model whose members fail less often.
test("the last spare of a domain stages the more exposed model", (t) => {
    const counts = new Map([[domainModelKey("d", "large"), 6], [domainModelKey("d", "small"), 3]]);
    const lastSpare = [vmOf("last", { stagedModels: ["small"] })];
    t.deepEqual(planSpareStaging(inputOf(lastSpare), counts).map(({ model }) => model.name), ["large"]);
    t.deepEqual(planSpareStaging(inputOf([{ ...lastSpare[0] as CandidateVm, isStaging: true }]), counts), []);
    const bothSpares = [...lastSpare, vmOf("other", { stagedModels: ["large"] })];
    t.deepEqual(planSpareStaging(inputOf(bothSpares), counts), []);
});

const bothModelsWarm = { lastModel: "small", stagedModels: ["large"] };

/** Plans preemption for five survivors of a large group and one small group with `members` in the same domain. */
const planPreemptionAfterLosses = (
    members: CandidateVm[],
    otherGroups: PlanInput["groups"] = [],
): ReturnType<typeof planPreemption> => {
    const survivors = vms(5, { lastModel: "large", stagedModels: ["small"], heldByGroup: "g1" });
    const groups = [{ model: "small", fabricDomain: "d" }, ...otherGroups];
    const targetCounts = new Map([[domainModelKey("d", "large"), 1], [domainModelKey("d", "small"), 1]]);
    const candidate = { groupName: "g2", model: "small", fabricDomain: "d", members };
    return planPreemption(inputOf(survivors, { groups, availableLoads: 0 }), targetCounts, [candidate]);
};

// Guards against survivors of a large group that wait for a load while the VM they lack serves a model with higher
// coverage.
test("a small group is preempted when its VMs complete a large one without a load", (t) => {
    const members = [0, 1, 2].map((index) => vmOf(`s${index}`, bothModelsWarm));
    const otherGroups = [{ model: "small", fabricDomain: "e" }];
    t.is(planPreemptionAfterLosses(members, otherGroups)?.groupName, "g2");
    const membersWithOnlySmall = members.map((vm) => ({ ...vm, stagedModels: ["small"] }));
    t.is(planPreemptionAfterLosses(membersWithOnlySmall, otherGroups), undefined);
});

// Guards against two models that preempt each other's groups repeatedly.
test("no group is preempted when its own model would end up with the lower coverage", (t) => {
    const members = [0, 1, 2].map((index) => vmOf(`s${index}`, bothModelsWarm));
    const otherGroups = [{ model: "large", fabricDomain: "e" }];
    t.is(planPreemptionAfterLosses(members, otherGroups), undefined);
});

test("members stage the model that they don't run, within the available loads", (t) => {
    const members = [
        vmOf("a", { lastModel: "small", stagedModels: ["small"] }),
        vmOf("b", bothModelsWarm),
        vmOf("c", { lastModel: "large", stagedModels: [], isStaging: true }),
        vmOf("d", { lastModel: "large", stagedModels: ["large"] }),
    ];
    const namesOf = (availableLoads: number): string[] =>
        planMemberStaging(inputOf([], { availableLoads }), members).map(({ serverId, model }) =>
            `${serverId} ${model.name}`
        );
    t.deepEqual(namesOf(8), ["a large", "d small"]);
    t.deepEqual(namesOf(1), ["a large"]);
});
