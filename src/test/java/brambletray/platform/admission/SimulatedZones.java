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
 * Zones, each with one edge that is home of the zone's queues; a platform that starts hosts; clients that come by
 * chance. Simulated time, one seed. Counts what the clients and the operator would.
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

        /** A kind of nobody's requests. */
        RequestKind(
                String service,
                int priority,
                int targetMs,
                int deadlineMs,
                double worth,
                double late,
                double workMs,
                double inner) {
            this(service, priority, targetMs, deadlineMs, worth, late, workMs, inner, "");
        }

        private String label() {
            return service + " rank " + priority + (tenant.isEmpty() ? "" : " of " + tenant);
        }
    }

    /** Requests, or calls of hosts, of one kind. */
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

        SimulatedInstance(InstanceInfo host, double bornAt) {
            this.info = host;
            this.startedAt = bornAt;
        }
    }

    final Random random;
    final List<String> zones;
    final double crossZoneMs;
    final Map<String, ServiceSpec> specs = new HashMap<>();
    final Map<String, ServiceQueues> homes = new HashMap<>();
    final Map<String, SimulatedInstance> instances = new HashMap<>();
    /** The call that a host of a service makes, where it is not one to the same service. */
    final Map<String, RequestKind> nestedCalls = new HashMap<>();
    /** Hosts of a service for which the platform has room, where that is limited. */
    final Map<String, Integer> instanceLimits = new HashMap<>();
    /** By kind: requests of clients, and calls of hosts, that have ended. */
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

    SimulatedZones(long seed, List<String> zones, double crossMs, AdmissionParameters laws) {
        random = new Random(seed);
        this.zones = zones;
        this.crossZoneMs = crossMs;
        for (String zone : zones) {
            homes.put(zone, new ServiceQueues(zone, zone, laws, new ZoneActions(zone)));
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

    void at(double when, Runnable what) {
        events.add(new Event(Math.max(now, when), order++, what));
    }

    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /** Poisson arrivals of a kind in a zone, at a rate per second that may change with time. */
    void arrivals(RequestKind kind, String zone, java.util.function.DoubleUnaryOperator perS, double peak, double until) {
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

    private void deliver(String from, String to, Runnable what) {
        at(now + (from.equals(to) ? 0.2 : crossZoneMs), what);
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

    private void queues(String zone, Consumer<ServiceQueues> what) {
        what.accept(homes.get(zone));
        scheduleTick(zone);
    }

    /** One try of a client, or of a host. */
    private final class Attempt {
        final RequestKind kind;
        final String zone;
        final double first;
        final double end;
        /** What the host that calls does with the outcome; null: a client asks. */
        final Consumer<Boolean> parent;

        double startedAt;
        boolean retriedLater;
        boolean counted;
        long id;
        int hops;
        int grants;
        String home;

        Attempt(RequestKind kind, String zone, double first, double end, Consumer<Boolean> parent) {
            this.kind = kind;
            this.zone = zone;
            this.first = first;
            this.end = end;
            this.parent = parent;
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
            SlotRequest ask = new SlotRequest(
                    id,
                    zone,
                    zone,
                    kind.service,
                    new SlotOwner(kind.tenant, kind.priority, 0),
                    (int) (end - now),
                    kind.targetMs,
                    false,
                    grants > 0,
                    parent != null,
                    List.of());
            deliver(zone, to, () -> queues(to, queues -> queues.onSlotRequest(ask, false, (long) now)));
        }

        void granted(SlotGrant grant) {
            SimulatedInstance machine = instances.get(grant.instanceId());
            String there = machine.info.zone();
            if (!there.equals(zone)) {
                crossZoneRequests++;
            }
            double sent = now;
            grants++;
            deliver(zone, there, () -> {
                if (!machine.up || machine.dead) {
                    deliver(there, zone, () -> finish(grant, AttemptOutcome.UNREACHED, sent, false));
                } else if (machine.busy >= specs.get(kind.service).maxConcurrency()) {
                    overLimit++;
                    deliver(there, zone, () -> finish(grant, AttemptOutcome.NOT_RUN, sent, false));
                } else {
                    machine.busy++;
                    double work = 3 + lognormal(kind.workMs, 0.5);
                    double at = now + work;
                    if (random.nextDouble() < kind.nestedCallShare) {
                        RequestKind same = new RequestKind(kind.service, 2, kind.targetMs, kind.deadlineMs, 0, 0, kind.workMs, 0);
                        RequestKind call = nestedCalls.getOrDefault(kind.service, same);
                        Consumer<Boolean> then = ok -> at(now + work / 2, () -> onWorkDone(grant, machine, sent, ok));
                        at(now + work / 2, () -> new Attempt(call, there, now, end, then).start());
                    } else {
                        at(at, () -> onWorkDone(grant, machine, sent, true));
                    }
                }
            });
        }

        /** The host's work is done; {@code ok}: its call was served, else it answers 500. */
        void onWorkDone(SlotGrant grant, SimulatedInstance machine, double sent, boolean ok) {
            if (machine.dead) {
                finish(grant, AttemptOutcome.BROKEN, sent, false);
                return;
            }
            machine.busy--;
            deliver(
                    machine.info.zone(),
                    zone,
                    () -> finish(grant, ok ? AttemptOutcome.SERVED : AttemptOutcome.FAILED, sent, ok));
        }

        void finish(SlotGrant grant, AttemptOutcome fate, double sent, boolean served) {
            SlotRelease done = new SlotRelease(grant.requestId(), grant.instanceId(), fate, (int) (now - sent));
            String to = home;
            deliver(zone, to, () -> queues(to, queues -> queues.onSlotRelease(zone, done, (long) now)));
            if (served) {
                end(true);
            } else if (fate != AttemptOutcome.FAILED && now + 50 < end && grants < 3) {
                start();
            } else {
                end(false);
            }
        }

        void end(boolean served) {
            attempts.remove(id);
            boolean ok = served && now <= end;
            String name = (parent == null ? "" : "call of ") + kind.label();
            Count count = counts.computeIfAbsent(name, n -> new Count());
            count.total++;
            count.served += ok ? 1 : 0;
            if (parent != null) {
                parent.accept(ok);
                return;
            }
            if (!served || now > end) {
                unserved++;
                return;
            }
            boolean timely = now + 2 - (retriedLater ? startedAt : first) <= kind.targetMs;
            if (timely && !retriedLater) {
                inTime++;
                value += kind.value;
            } else {
                late++;
                value += timely ? (kind.value + kind.lateValue) / 2 : kind.lateValue;
            }
        }

        void refused(int comeBackMs) {
            attempts.remove(id);
            if (!counted) {
                refused++;
                counted = true;
            }
            double left = end - now;
            double pause = Math.max(50, Math.min(comeBackMs < 0 ? 100 : comeBackMs, left / 3));
            if (parent != null || ++grants > 3 || pause > left) {
                end(false);
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
        int hosts = 0;
        for (SimulatedInstance machine : instances.values()) {
            hosts += machine.info.service().equals(service) ? 1 : 0;
        }
        return hosts >= instanceLimits.getOrDefault(service, Integer.MAX_VALUE);
    }

    /** Starts a host as the platform does. */
    private InstanceInfo startInstance(StartRequest need, String zone) {
        InstanceInfo known = byNonce.get(need.nonce());
        if (known != null) {
            return known;
        }
        InstanceInfo host = new InstanceInfo(
                "h" + ++instanceIds,
                need.service(),
                "10.0.0.1:" + instanceIds,
                zone,
                need.homeZone(),
                "w",
                need.nonce(),
                InstanceInfo.BOOTING,
                0);
        byNonce.put(need.nonce(), host);
        SimulatedInstance machine = new SimulatedInstance(host, now);
        machine.upAt = now + lognormal(specs.get(need.service()).bootMs(), 0.3);
        at(machine.upAt, () -> machine.up = true);
        instances.put(host.id(), machine);
        maxInstances = Math.max(maxInstances, instances.size());
        starts++;
        return host;
    }

    void stopInstance(SimulatedInstance machine) {
        if (instances.remove(machine.info.id()) != null) {
            addTotals(machine);
            gbSeconds += specs.get(machine.info.service()).memoryMb() / 1024.0 * (now - machine.startedAt) / 1000;
        }
    }

    /** All memory until now. */
    double gbSeconds() {
        double all = gbSeconds;
        for (SimulatedInstance machine : instances.values()) {
            all += specs.get(machine.info.service()).memoryMb() / 1024.0 * (now - machine.startedAt) / 1000;
        }
        return all;
    }

    /** What a zone's queues want done. */
    private final class ZoneActions implements AdmissionActions {
        final String zone;

        ZoneActions(String zone) {
            this.zone = zone;
        }

        @Override
        public void grant(String edge, SlotGrant grant) {
            Attempt one = attempts.get(grant.requestId());
            deliver(zone, edge, () -> one.granted(grant));
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            Attempt one = attempts.get(refuse.requestId());
            deliver(zone, edge, () -> one.refused(refuse.retryAfterMs()));
        }

        @Override
        public void redirect(String edge, SlotRedirect word) {
            redirects++;
            Attempt one = attempts.get(word.requestId());
            deliver(zone, edge, () -> {
                redirectedTo.put(edge + word.service(), word.zone());
                if (++one.hops > 3) {
                    throw new IllegalStateException("sent on for ever: " + word);
                }
                one.requestSlot(word.zone());
            });
        }

        @Override
        public void requestStart(StartRequest need) {
            at(now + 8, () -> {
                if (!byNonce.containsKey(need.nonce()) && atInstanceLimit(need.service())) {
                    at(
                            now + 4,
                            () -> queues(
                                    zone,
                                    queues -> queues.onStartRefused(new StartRefusal(need.nonce(), 500), (long) now)));
                    return;
                }
                InstanceInfo host = startInstance(need, zone);
                at(
                        now + 4,
                        () -> queues(
                                zone,
                                queues ->
                                        queues.onInstanceStarted(new InstanceStarted(need.nonce(), host), (long) now)));
            });
        }

        @Override
        public void requestStop(StopRequest quit) {
            at(now + 8, () -> {
                SimulatedInstance machine = instances.get(quit.id());
                if (machine != null) {
                    stopInstance(machine);
                }
                queues(
                        zone,
                        queues -> queues.onInstanceGone(
                                new brambletray.platform.provisioning.InstanceGone(quit.id(), quit.service()),
                                (long) now));
            });
        }

        @Override
        public void reportUp(InstanceUp seen) {}

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
        public void probe(String service, String hostId, String address) {
            SimulatedInstance machine = instances.get(hostId);
            at(now + 0.5, () -> {
                boolean ok = machine != null && machine.up && !machine.dead;
                queues(zone, queues -> queues.onProbed(hostId, ok, (long) now));
            });
        }
    }

    /** Memory and starts by the first letters of services. */
    private final Map<String, double[]> totalsByPrefix = new TreeMap<>();

    private void addTotals(SimulatedInstance machine) {
        double[] sum = totalsByPrefix.computeIfAbsent(machine.info.service().substring(0, 4), s -> new double[2]);
        sum[0] += specs.get(machine.info.service()).memoryMb() / 1024.0 * (now - machine.startedAt) / 1000;
        sum[1]++;
    }

    String figures(double priceGbS, double priceStart, double priceCross) {
        instances.values().forEach(this::addTotals);
        StringBuilder sorts = new StringBuilder();
        totalsByPrefix.forEach((name, sum) -> sorts.append(String.format(" %s %.0f GB-s %.0f starts", name, sum[0], sum[1])));
        double cost = gbSeconds() * priceGbS + starts * priceStart + crossZoneRequests * priceCross;
        return String.format(
                "worth %.3f  net %.3f  in time %.1f%%  late %.1f%%  refused %d  unserved %d  starts %d  GB-s %.0f  crossed %.1f%%"
                        + "  most hosts %d  turned away %d  sent on %d  of %d %s",
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
                sorts);
    }
}
