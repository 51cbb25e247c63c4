package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRefusal;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates zones, each with one edge that is the home of the zone's queues, a platform that starts instances, and
 * clients with Poisson arrivals, in simulated time with one seed. Counts the results that clients and the operator
 * see.
 */
final class SimulatedZones {
    record RequestKind(
            String service,
            int priority,
            int targetMs,
            int deadlineMs,
            double value,
            double lateValue,
            double workMs,
            double nestedCallShare,
            String tenant) {

        /** Requests without a tenant. */
        RequestKind(
                String service,
                int priority,
                int targetMs,
                int deadlineMs,
                double value,
                double lateValue,
                double workMs,
                double nestedCallShare) {
            this(service, priority, targetMs, deadlineMs, value, lateValue, workMs, nestedCallShare, "");
        }

        private String label() {
            return service + " priority " + priority + (tenant.isEmpty() ? "" : " of " + tenant);
        }
    }

    /** Number of client requests, or of nested calls, of one kind. */
    static final class Count {
        int total;
        int served;

        double share() {
            return total == 0 ? 1 : (double) served / total;
        }
    }

    private record Event(double at, long order, Runnable action) {}

    static final class SimulatedInstance {
        final InstanceInfo info;
        final double startedAt;
        double upAt;
        boolean up;
        boolean dead;
        int busy;

        SimulatedInstance(InstanceInfo info, double startedAt) {
            this.info = info;
            this.startedAt = startedAt;
        }
    }

    final Random random;
    final List<String> zones;
    final double crossZoneMs;
    final Map<String, ServiceSpec> specs = new HashMap<>();
    final Map<String, ServiceQueues> homes = new HashMap<>();
    final Map<String, SimulatedInstance> instances = new HashMap<>();
    /** The nested call made by instances of a service, if it does not go to the same service. */
    final Map<String, RequestKind> nestedCalls = new HashMap<>();
    /** Maximum number of instances of a service, if the platform limits it. */
    final Map<String, Integer> instanceLimits = new HashMap<>();
    /** Completed client requests and nested calls, by kind. */
    final Map<String, Count> counts = new TreeMap<>();

    private final Map<String, InstanceInfo> byNonce = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<String, String> redirectedTo = new HashMap<>();
    private final Set<String> scheduledTicks = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    private long ids;
    private int instanceIds;
    double now;
    double value;
    double maxValue;
    int requests;
    int inTime;
    int late;
    int refused;
    int unserved;
    int starts;
    int crossZoneRequests;
    int overLimit;
    int redirects;
    double gbSeconds;
    int maxInstances;

    SimulatedZones(long seed, List<String> zones, double crossMs, AdmissionParameters parameters) {
        random = new Random(seed);
        this.zones = zones;
        this.crossZoneMs = crossMs;
        for (String zone : zones) {
            homes.put(zone, new ServiceQueues(zone, zone, parameters, new ZoneActions(zone)));
        }
    }

    String root(String service) {
        return zones.get(Math.floorMod(service.hashCode() * 31 >> 3, zones.size()));
    }

    void add(ServiceSpec spec) {
        specs.put(spec.service(), spec);
        for (String zone : zones) {
            homes.get(zone).onServiceSpec(spec, (long) now);
            homes.get(zone).takeOver(spec.service(), root(spec.service()), List.of(), (long) now);
            scheduleTick(zone);
        }
    }

    void at(double when, Runnable action) {
        events.add(new Event(Math.max(now, when), order++, action));
    }

    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /** Poisson arrivals of a kind in a zone, with a rate per second that may change over time, at most {@code peak}. */
    void arrivals(
            RequestKind kind, String zone, java.util.function.DoubleUnaryOperator perS, double peak, double until) {
        at(now - Math.log(1 - random.nextDouble()) * 1000 / peak, () -> {
            if (now < until) {
                if (random.nextDouble() * peak < perS.applyAsDouble(now)) {
                    request(kind, zone);
                }
                arrivals(kind, zone, perS, peak, until);
            }
        });
    }

    void request(RequestKind kind, String zone) {
        requests++;
        maxValue += kind.value;
        new Attempt(kind, zone, now, now + kind.deadlineMs, null).start();
    }

    private void deliver(String from, String to, Runnable action) {
        at(now + (from.equals(to) ? 0.2 : crossZoneMs), action);
    }

    private void scheduleTick(String zone) {
        long due = homes.get(zone).nextDueMs();
        if (due < Long.MAX_VALUE && scheduledTicks.add(zone + due)) {
            at(due, () -> {
                scheduledTicks.remove(zone + due);
                homes.get(zone).tick((long) now);
                scheduleTick(zone);
            });
        }
    }

    private void queues(String zone, Consumer<ServiceQueues> action) {
        action.accept(homes.get(zone));
        scheduleTick(zone);
    }

    /** A client request or a nested call, with its retries. */
    private final class Attempt {
        final RequestKind kind;
        final String zone;
        final double requestedAt;
        final double deadline;
        /** Called with the outcome of a nested call; null for a client request. */
        final Consumer<Boolean> onNestedCallDone;

        double startedAt;
        boolean retriedLater;
        boolean refusalCounted;
        long id;
        int hops;
        int grants;
        String home;

        Attempt(
                RequestKind kind,
                String zone,
                double requestedAt,
                double deadline,
                Consumer<Boolean> onNestedCallDone) {
            this.kind = kind;
            this.zone = zone;
            this.requestedAt = requestedAt;
            this.deadline = deadline;
            this.onNestedCallDone = onNestedCallDone;
        }

        void start() {
            startedAt = now;
            id = ++ids;
            hops = 0;
            attempts.put(id, this);
            String to = redirectedTo.getOrDefault(zone + kind.service, root(kind.service));
            requestSlot(to);
        }

        void requestSlot(String to) {
            home = to;
            SlotRequest request = new SlotRequest(
                    id,
                    zone,
                    zone,
                    kind.service,
                    new SlotOwner(kind.tenant, kind.priority, 0),
                    (int) (deadline - now),
                    kind.targetMs,
                    false,
                    grants > 0,
                    onNestedCallDone != null,
                    List.of());
            deliver(zone, to, () -> queues(to, queues -> queues.onSlotRequest(request, false, (long) now)));
        }

        void onGrant(SlotGrant grant) {
            SimulatedInstance instance = instances.get(grant.instanceId());
            String there = instance.info.zone();
            if (!there.equals(zone)) {
                crossZoneRequests++;
            }
            double sent = now;
            grants++;
            deliver(zone, there, () -> {
                if (!instance.up || instance.dead) {
                    deliver(there, zone, () -> onOutcome(grant, AttemptOutcome.UNREACHED, sent, false));
                } else if (instance.busy >= specs.get(kind.service).maxConcurrency()) {
                    overLimit++;
                    deliver(there, zone, () -> onOutcome(grant, AttemptOutcome.NOT_RUN, sent, false));
                } else {
                    instance.busy++;
                    double work = 3 + lognormal(kind.workMs, 0.5);
                    double at = now + work;
                    if (random.nextDouble() < kind.nestedCallShare) {
                        RequestKind same =
                                new RequestKind(kind.service, 2, kind.targetMs, kind.deadlineMs, 0, 0, kind.workMs, 0);
                        RequestKind call = nestedCalls.getOrDefault(kind.service, same);
                        Consumer<Boolean> then = ok -> at(now + work / 2, () -> onWorkDone(grant, instance, sent, ok));
                        at(now + work / 2, () -> new Attempt(call, there, now, deadline, then).start());
                    } else {
                        at(at, () -> onWorkDone(grant, instance, sent, true));
                    }
                }
            });
        }

        /** The instance has done its work; {@code ok}: its nested call was served, else it answers 500. */
        void onWorkDone(SlotGrant grant, SimulatedInstance instance, double sent, boolean ok) {
            if (instance.dead) {
                onOutcome(grant, AttemptOutcome.BROKEN, sent, false);
                return;
            }
            instance.busy--;
            deliver(
                    instance.info.zone(),
                    zone,
                    () -> onOutcome(grant, ok ? AttemptOutcome.SERVED : AttemptOutcome.FAILED, sent, ok));
        }

        void onOutcome(SlotGrant grant, AttemptOutcome outcome, double sent, boolean served) {
            SlotRelease done = new SlotRelease(grant.requestId(), grant.instanceId(), outcome, (int) (now - sent));
            String to = home;
            deliver(zone, to, () -> queues(to, queues -> queues.onSlotRelease(zone, done, (long) now)));
            if (served) {
                complete(true);
            } else if (outcome != AttemptOutcome.FAILED && now + 50 < deadline && grants < 3) {
                start();
            } else {
                complete(false);
            }
        }

        void complete(boolean served) {
            attempts.remove(id);
            boolean ok = served && now <= deadline;
            String name = (onNestedCallDone == null ? "" : "nested call of ") + kind.label();
            Count count = counts.computeIfAbsent(name, n -> new Count());
            count.total++;
            count.served += ok ? 1 : 0;
            if (onNestedCallDone != null) {
                onNestedCallDone.accept(ok);
                return;
            }
            if (!served || now > deadline) {
                unserved++;
                return;
            }
            boolean timely = now + 2 - (retriedLater ? startedAt : requestedAt) <= kind.targetMs;
            if (timely && !retriedLater) {
                inTime++;
                value += kind.value;
            } else {
                late++;
                value += timely ? (kind.value + kind.lateValue) / 2 : kind.lateValue;
            }
        }

        void onRefusal(int retryAfterMs) {
            attempts.remove(id);
            if (!refusalCounted) {
                refused++;
                refusalCounted = true;
            }
            double left = deadline - now;
            double pause = Math.max(50, Math.min(retryAfterMs < 0 ? 100 : retryAfterMs, left / 3));
            if (onNestedCallDone != null || ++grants > 3 || pause > left) {
                complete(false);
                return;
            }
            retriedLater = true;
            grants = 0;
            at(now + pause, this::start);
        }
    }

    double lognormal(double mean, double sigma) {
        return mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }

    private boolean atInstanceLimit(String service) {
        int count = 0;
        for (SimulatedInstance instance : instances.values()) {
            count += instance.info.service().equals(service) ? 1 : 0;
        }
        return count >= instanceLimits.getOrDefault(service, Integer.MAX_VALUE);
    }

    /** Starts an instance as the platform does: a repeated nonce returns the existing one. */
    private InstanceInfo startInstance(StartRequest request, String zone) {
        InstanceInfo existing = byNonce.get(request.nonce());
        if (existing != null) {
            return existing;
        }
        InstanceInfo info = new InstanceInfo(
                "h" + ++instanceIds,
                request.service(),
                "10.0.0.1:" + instanceIds,
                zone,
                request.homeZone(),
                "w",
                request.nonce(),
                InstanceInfo.BOOTING,
                0);
        byNonce.put(request.nonce(), info);
        SimulatedInstance instance = new SimulatedInstance(info, now);
        instance.upAt = now + lognormal(specs.get(request.service()).bootMs(), 0.3);
        at(instance.upAt, () -> instance.up = true);
        instances.put(info.id(), instance);
        maxInstances = Math.max(maxInstances, instances.size());
        starts++;
        return info;
    }

    void stopInstance(SimulatedInstance instance) {
        if (instances.remove(instance.info.id()) != null) {
            addTotals(instance);
            gbSeconds += specs.get(instance.info.service()).memoryMb() / 1024.0 * (now - instance.startedAt) / 1000;
        }
    }

    /** Memory used by all instances until now, GB-seconds. */
    double gbSeconds() {
        double all = gbSeconds;
        for (SimulatedInstance instance : instances.values()) {
            all += specs.get(instance.info.service()).memoryMb() / 1024.0 * (now - instance.startedAt) / 1000;
        }
        return all;
    }

    /** Performs the actions of a zone's queues. */
    private final class ZoneActions implements AdmissionActions {
        final String zone;

        ZoneActions(String zone) {
            this.zone = zone;
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            Attempt attempt = attempts.get(grant.requestId());
            deliver(zone, edge, () -> attempt.onGrant(grant));
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            Attempt attempt = attempts.get(refusal.requestId());
            deliver(zone, edge, () -> attempt.onRefusal(refusal.retryAfterMs()));
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {
            redirects++;
            Attempt attempt = attempts.get(redirect.requestId());
            deliver(zone, edge, () -> {
                redirectedTo.put(edge + redirect.service(), redirect.zone());
                if (++attempt.hops > 3) {
                    throw new IllegalStateException("redirected more than 3 times: " + redirect);
                }
                attempt.requestSlot(redirect.zone());
            });
        }

        @Override
        public void requestStart(StartRequest request) {
            at(now + 8, () -> {
                if (!byNonce.containsKey(request.nonce()) && atInstanceLimit(request.service())) {
                    at(
                            now + 4,
                            () -> queues(
                                    zone,
                                    queues ->
                                            queues.onStartRefused(new StartRefusal(request.nonce(), 500), (long) now)));
                    return;
                }
                InstanceInfo info = startInstance(request, zone);
                at(
                        now + 4,
                        () -> queues(
                                zone,
                                queues -> queues.onInstanceStarted(
                                        new InstanceStarted(request.nonce(), info), (long) now)));
            });
        }

        @Override
        public void requestStop(StopRequest request) {
            at(now + 8, () -> {
                SimulatedInstance instance = instances.get(request.id());
                if (instance != null) {
                    stopInstance(instance);
                }
                queues(
                        zone,
                        queues -> queues.onInstanceGone(
                                new brambletray.platform.provisioning.InstanceGone(request.id(), request.service()),
                                (long) now));
            });
        }

        @Override
        public void reportUp(InstanceUp instance) {}

        @Override
        public void claimHome(HomeClaim claim) {
            at(
                    now + 3,
                    () -> queues(
                            zone,
                            queues -> queues.onInstanceList(
                                    new InstanceList(claim.service(), claim.homeZone(), new ArrayList<>()),
                                    (long) now)));
        }

        @Override
        public void probe(String service, String instanceId, String address) {
            SimulatedInstance instance = instances.get(instanceId);
            at(now + 0.5, () -> {
                boolean ok = instance != null && instance.up && !instance.dead;
                queues(zone, queues -> queues.onProbed(instanceId, ok, (long) now));
            });
        }
    }

    /** Memory in GB-seconds and number of starts, by the first four letters of the service. */
    private final Map<String, double[]> totalsByPrefix = new TreeMap<>();

    private void addTotals(SimulatedInstance instance) {
        double[] sum = totalsByPrefix.computeIfAbsent(instance.info.service().substring(0, 4), s -> new double[2]);
        sum[0] += specs.get(instance.info.service()).memoryMb() / 1024.0 * (now - instance.startedAt) / 1000;
        sum[1]++;
    }

    String figures(double priceGbS, double priceStart, double priceCross) {
        instances.values().forEach(this::addTotals);
        StringBuilder totals = new StringBuilder();
        totalsByPrefix.forEach(
                (name, sum) -> totals.append(String.format(" %s %.0f GB-s %.0f starts", name, sum[0], sum[1])));
        double cost = gbSeconds() * priceGbS + starts * priceStart + crossZoneRequests * priceCross;
        return String.format(
                "value %.3f  net %.3f  in time %.1f%%  late %.1f%%  refused %d  unserved %d  starts %d  GB-s %.0f"
                        + "  cross-zone %.1f%%  max instances %d  over limit %d  redirects %d  requests %d %s",
                value / maxValue,
                (value - cost) / maxValue,
                100.0 * inTime / requests,
                100.0 * late / requests,
                refused,
                unserved,
                starts,
                gbSeconds(),
                100.0 * crossZoneRequests / requests,
                maxInstances,
                overLimit,
                redirects,
                requests,
                totals);
    }
}
