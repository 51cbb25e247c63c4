package brambletray.platform.edge;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.proxy.QuotaGate;
import brambletray.platform.quota.EdgeIncarnation;
import brambletray.platform.quota.QuotaDebit;
import brambletray.platform.quota.QuotaGrant;
import brambletray.platform.quota.QuotaParameters;
import brambletray.platform.quota.QuotaRequest;
import brambletray.platform.quota.QuotaResponse;
import brambletray.platform.quota.QuotaReturn;
import brambletray.platform.quota.TenantQuotas;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One simulated history: givers of rights in succession, edges that ask them, and instances that count what arrives.
 * Everything follows from the seed; time is virtual.
 */
final class QuotaHistory {
    /** Faults that are built in to see whether the count notices. */
    enum Planted {
        NONE,
        SECOND_GIVER,
        EXPIRED_RIGHTS_SPENT,
        FORMER_RIGHTS_AFTER_RESTART,
        NEW_GIVER_WITH_FULL_BUCKET,
        RETRIES_NOT_COUNTED
    }

    /** What happens to the fleet. */
    enum Fault {
        HALF_OF_THE_EDGES_DIE,
        EDGES_ARE_CUT_OFF,
        EDGES_FREEZE,
        COORDINATOR_DIES,
        COORDINATOR_IS_CUT_OFF,
        LIMITS_ARE_LOWERED,
        A_TENANT_FLOODS,
        ALL_TENANTS_FLOOD,
        INSTANCES_STALL,
        CUT_OFF_EDGES_RESTART
    }

    static final int WINDOW_MS = 5_000;
    static final double OVERAGE = 0.1;
    static final double SLACK = 20;
    private static final long END_MS = 60_000;
    private static final long TIMELINE_END_MS = 30_000;
    static final int CUT_MS = 30_000;

    private static final int STEP_MS = 10;
    private static final int TICK_MS = 50;
    private static final int LOSS_NOTICED_MS = 1_000;
    private static final int FLOOD_FACTOR = 8;
    private static final int FLOOD_MS = 15_000;
    private static final int GENERAL_FLOOD_FACTOR = 8;
    /** One edge in so many is cut off. */
    private static final int CUT_OFF_ONE_IN = 3;

    private static final int STALL_MS = 3_000;
    private static final int CRASH_RESTART_MS = 100;
    /** Limits are so many times the usual demand. */
    private static final double LIMIT_FACTOR = 1.6;

    private static final double RETRY_SHARE = 0.05;
    private static final double WAIT_SHARE = 0.1;
    private static final int MAX_WAIT_MS = 600;
    /** ms by which the clock of a giver that begins with full buckets is set back. */
    private static final long FILLED_MS = 60_000;

    private record Event(long atMs, long order, Runnable action) {}

    /** One term of the coordinator. */
    private final class Giver {
        private final long term;
        private final TenantQuotas quotas = new TenantQuotas(new QuotaParameters(WINDOW_MS, OVERAGE, SLACK));
        private boolean isStopped;
        private boolean isCutOff;

        private Giver(long term) {
            this.term = term;
            boolean full = planted == Planted.NEW_GIVER_WITH_FULL_BUCKET && term > 1;
            quotas.updateTenants(tenants, nowMs - (full ? FILLED_MS : 0));
        }

        private void receive(Process edge, Object frame) {
            if (frame instanceof QuotaRequest request) {
                QuotaResponse response =
                        quotas.onRequest(new EdgeIncarnation(edge.name, edge.incarnation), request, nowMs);
                if (response instanceof QuotaGrant grant) {
                    edge.runAheads.put(request.tenant(), grant.runAhead());
                }
                edge.after(edge.delayMs, () -> {
                    if (edge.giver == this && edge.reaches(this)) {
                        edge.client.onResponse(response);
                    }
                });
            } else if (frame instanceof QuotaDebit debit) {
                quotas.onDebit(debit, nowMs);
            } else if (frame instanceof QuotaReturn unspent) {
                quotas.onReturn(unspent, nowMs);
            }
        }
    }

    /** One process of an edge. */
    private final class Process {
        private final String name;
        private final long incarnation;
        private final int delayMs = 1 + random.nextInt(20);
        private final boolean isOnGiversSide = random.nextBoolean();
        /** What its steady clock is behind of the virtual time. */
        private final long clockOffsetMs = random.nextInt(1_000_000) - 500_000;

        private final QuotaClient client;
        /** What it was granted last, by tenant. */
        private final Map<String, Integer> runAheads = new HashMap<>();

        private long lastAskedId;
        private boolean isDead;
        private long frozenUntilMs;
        private long cutUntilMs;
        private Giver giver;
        private long unreachedSinceMs = -1;

        private Process(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            client = new QuotaClient(this::send, () -> nowMs - clockOffsetMs, WINDOW_MS);
            after(random.nextInt(TICK_MS), this::tick);
        }

        /** Later, and not before it thaws. */
        private void after(long delay, Runnable action) {
            at(nowMs + delay, () -> {
                if (isDead) {
                    return;
                }
                if (nowMs < frozenUntilMs) {
                    after(frozenUntilMs - nowMs, action);
                } else {
                    action.run();
                }
            });
        }

        private boolean reaches(Giver other) {
            return !other.isStopped && nowMs >= cutUntilMs && (!other.isCutOff || isOnGiversSide);
        }

        private boolean send(Object frame) {
            if (frame instanceof QuotaRequest request) {
                lastAskedId = request.id();
            }
            if (giver == null) {
                return false;
            }
            Giver to = giver;
            boolean sent = reaches(to);
            at(nowMs + delayMs, () -> {
                if (sent && reaches(to)) {
                    to.receive(this, frame);
                }
            });
            return true;
        }

        /** As if a former process had left on disk what it was granted. */
        private void restore(Map<String, Integer> former) {
            former.forEach((tenant, runAhead) -> {
                client.acquire(
                        originalTenants.get(tenant), new Request(this, originalTenants.get(tenant), false, true));
                client.onResponse(new QuotaGrant(lastAskedId, runAhead));
                runAheads.put(tenant, runAhead);
            });
        }

        private void tick() {
            if (giver != null && reaches(giver)) {
                unreachedSinceMs = -1;
            } else if (giver != null) {
                unreachedSinceMs = unreachedSinceMs < 0 ? nowMs : unreachedSinceMs;
                boolean isNoticed = giver.isStopped && nowMs >= cutUntilMs;
                giver = isNoticed || nowMs - unreachedSinceMs >= LOSS_NOTICED_MS ? null : giver;
            }
            if (giver == null && current != null && reaches(current)) {
                giver = current;
                unreachedSinceMs = -1;
                client.onAttached(current.term);
            }
            client.tick(giver != null);
            after(TICK_MS, this::tick);
        }
    }

    /** One request, over its attempts. */
    private final class Request implements QuotaGate.Listener {
        private final Process edge;
        private final Tenant tenant;
        private final boolean isWithinLimit;
        private final boolean isUnused;
        private boolean isRetry;

        private Request(Process edge, Tenant tenant, boolean isWithinLimit, boolean isUnused) {
            this.isUnused = isUnused;
            this.edge = edge;
            this.tenant = tenant;
            this.isWithinLimit = isWithinLimit;
        }

        private void acquire() {
            edge.client.acquire(tenant, this);
        }

        @Override
        public void onAcquired(QuotaGate.Right right) {
            if (isUnused) {
                return;
            }
            if (nowMs < stalledUntilMs) {
                edge.after(stalledUntilMs - nowMs, () -> useRight(right));
            } else if (random.nextDouble() < WAIT_SHARE) {
                edge.after(random.nextInt(MAX_WAIT_MS), () -> useRight(right));
            } else {
                useRight(right);
            }
        }

        private void useRight(QuotaGate.Right right) {
            if (!right.isValid() && planted != Planted.EXPIRED_RIGHTS_SPENT) {
                acquire();
                return;
            }
            right.spend();
            arrive();
            if (random.nextDouble() < RETRY_SHARE * (planted == Planted.RETRIES_NOT_COUNTED ? 6 : 1) && !isRetry) {
                isRetry = true;
                retry();
            }
        }

        private void retry() {
            if (planted == Planted.RETRIES_NOT_COUNTED) {
                arrive();
            } else {
                acquire();
            }
        }

        private void arrive() {
            arrivals.get(tenant.name()).add(nowMs);
        }

        @Override
        public void onExceeded(int retryAfterMs) {
            if (isWithinLimit && !isRetry) {
                falselyExceeded++;
            }
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            if (isWithinLimit && !isRetry) {
                falselyUnavailable++;
            }
        }
    }

    private final Random random;
    private final Planted planted;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, Tenant> originalTenants = new HashMap<>();
    private final List<Process> edges = new ArrayList<>();
    private final Map<String, List<Long>> arrivals = new HashMap<>();
    private final Map<String, List<Long>> demands = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final int cutMs;
    private Giver current;
    private String floodingTenant;
    private long floodUntilMs;
    private long generalFloodUntilMs;
    private long stalledUntilMs;
    private long loweredAtMs = Long.MAX_VALUE;
    private long nowMs;
    private long order;
    private long requests;
    private long requestsWithinLimit;
    private long falselyExceeded;
    private long falselyUnavailable;

    /** How many edges and tenants there are. */
    record Fleet(int edges, int tenants) {
        static final Fleet LARGE = new Fleet(89, 87);
        static final Fleet MEDIUM = new Fleet(61, 73);
        static final Fleet SMALL = new Fleet(6, 12);
    }

    /** In a fleet that the seed draws. */
    QuotaHistory(long seed, Planted planted, int cutMs) {
        this(seed, planted, cutMs, seed % 2 == 0 ? Fleet.LARGE : Fleet.MEDIUM);
    }

    QuotaHistory(long seed, Planted planted, int cutMs, Fleet fleet) {
        this.random = new Random(seed);
        this.planted = planted;
        this.cutMs = cutMs;
        addTenants(fleet.tenants());
        for (int i = 0; i < fleet.edges(); i++) {
            edges.add(new Process("edge-" + i, 1));
        }
        current = new Giver(1);
    }

    private void addTenants(int count) {
        for (int i = 0; i < count; i++) {
            double ratePerS = i < 4 ? 60 + random.nextInt(140) : 5 + random.nextInt(20);
            double burst = random.nextInt(1 + 3 * (int) ratePerS);
            Tenant tenant = new Tenant("tenant-" + i, List.of(), 0, ratePerS, burst);
            tenants.put(tenant.name(), tenant);
            originalTenants.put(tenant.name(), tenant);
            arrivals.put(tenant.name(), new ArrayList<>());
            demands.put(tenant.name(), new ArrayList<>());
        }
    }

    private void at(long timeMs, Runnable action) {
        events.add(new Event(timeMs, order++, action));
    }

    /** With faults that the seed draws. */
    void play() {
        int count = 3 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
            at(10_000 + random.nextInt(40_000), () -> inject(fault));
        }
        run(END_MS);
    }

    /** With these faults, which come at these times. */
    void play(Map<Integer, Fault> timeline) {
        timeline.forEach((timeMs, fault) -> at(timeMs, () -> inject(fault)));
        run(TIMELINE_END_MS);
    }

    private void run(long endMs) {
        at(0, this::step);
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
    }

    private void step() {
        for (Tenant tenant : List.copyOf(tenants.values())) {
            double perStep = originalTenants.get(tenant.name()).ratePerS() / LIMIT_FACTOR * STEP_MS / 1_000;
            boolean floods = tenant.name().equals(floodingTenant) && nowMs < floodUntilMs;
            int factor = floods ? FLOOD_FACTOR : nowMs < generalFloodUntilMs ? GENERAL_FLOOD_FACTOR : 1;
            for (int i = poisson(factor * perStep); i > 0; i--) {
                arriveAtEdge(tenant);
            }
        }
        at(nowMs + STEP_MS, this::step);
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private void arriveAtEdge(Tenant tenant) {
        Process edge = edges.get(random.nextInt(edges.size()));
        if (edge.isDead || nowMs < edge.frozenUntilMs) {
            return;
        }
        List<Long> demand = demands.get(tenant.name());
        demand.add(nowMs);
        int inWindow = 0;
        for (int i = demand.size() - 1; i >= 0 && demand.get(i) > nowMs - WINDOW_MS; i--) {
            inWindow++;
        }
        boolean isWithinLimit = inWindow <= tenant.ratePerS() * WINDOW_MS / 1_000 + tenant.burstSize();
        requests++;
        requestsWithinLimit += isWithinLimit ? 1 : 0;
        new Request(edge, tenant, isWithinLimit, false).acquire();
    }

    private void inject(Fault fault) {
        faults.add(nowMs + " ms: " + fault);
        switch (fault) {
            case HALF_OF_THE_EDGES_DIE -> killHalf();
            case EDGES_ARE_CUT_OFF ->
                edges.forEach(edge -> {
                    edge.cutUntilMs = random.nextInt(CUT_OFF_ONE_IN) == 0 ? nowMs + cutMs : edge.cutUntilMs;
                });
            case EDGES_FREEZE ->
                edges.forEach(edge -> {
                    edge.frozenUntilMs = random.nextInt(4) == 0 ? nowMs + random.nextInt(10_000) : edge.frozenUntilMs;
                });
            case COORDINATOR_DIES -> loseCoordinator(false);
            case COORDINATOR_IS_CUT_OFF -> loseCoordinator(true);
            case LIMITS_ARE_LOWERED -> lowerLimits();
            case A_TENANT_FLOODS -> {
                floodingTenant = "tenant-" + random.nextInt(tenants.size());
                floodUntilMs = nowMs + FLOOD_MS;
            }
            case ALL_TENANTS_FLOOD -> generalFloodUntilMs = nowMs + FLOOD_MS;
            case INSTANCES_STALL -> stalledUntilMs = nowMs + STALL_MS;
            case CUT_OFF_EDGES_RESTART -> restartCutOffEdges();
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    private void killHalf() {
        for (int i = 0; i < edges.size(); i++) {
            if (random.nextBoolean() && !edges.get(i).isDead) {
                Process dead = edges.get(i);
                dead.isDead = true;
                int index = i;
                at(nowMs + 500 + random.nextInt(6_000), () -> edges.set(index, restarted(dead)));
            }
        }
    }

    private void restartCutOffEdges() {
        for (int i = 0; i < edges.size(); i++) {
            Process dead = edges.get(i);
            if (nowMs < dead.cutUntilMs && !dead.isDead) {
                dead.isDead = true;
                int index = i;
                at(nowMs + CRASH_RESTART_MS, () -> edges.set(index, restarted(dead)));
            }
        }
    }

    private Process restarted(Process dead) {
        Process next = new Process(dead.name, dead.incarnation + 1);
        next.cutUntilMs = dead.cutUntilMs;
        if (planted == Planted.FORMER_RIGHTS_AFTER_RESTART) {
            next.restore(dead.runAheads);
        }
        return next;
    }

    /** The next one begins once the lease of this one has provably ended. */
    private void loseCoordinator(boolean isCutOff) {
        if (current == null) {
            return;
        }
        Giver lost = current;
        current = null;
        lost.isCutOff = isCutOff;
        lost.isStopped = !isCutOff;
        long pauseMs = 1_000 + random.nextInt(1_500);
        if (planted != Planted.SECOND_GIVER) {
            at(nowMs + random.nextInt(1_000), () -> lost.isStopped = true);
        }
        at(nowMs + pauseMs, () -> current = new Giver(lost.term + 1));
    }

    private void lowerLimits() {
        if (loweredAtMs == Long.MAX_VALUE) {
            loweredAtMs = nowMs;
            tenants.replaceAll((name, tenant) ->
                    new Tenant(name, List.of(), 0, tenant.ratePerS() / 2, Math.floor(tenant.burstSize() / 2)));
            if (current != null) {
                current.quotas.updateTenants(tenants, nowMs);
            }
        }
    }

    /** Arrivals in any window beyond what is allowed, of the tenant that came nearest; above 0 a fault. */
    double overshoot() {
        double largest = Double.NEGATIVE_INFINITY;
        for (Map.Entry<String, List<Long>> each : arrivals.entrySet()) {
            largest = Math.max(largest, overshoot(each.getKey(), each.getValue()));
        }
        return largest;
    }

    private double overshoot(String tenant, List<Long> times) {
        double largest = Double.NEGATIVE_INFINITY;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > WINDOW_MS) {
                first++;
            }
            largest = Math.max(largest, last - first + 1 - allowed(tenant, times.get(first)));
        }
        return largest;
    }

    /** A lowered limit takes hold a window after it is known. */
    private double allowed(String tenant, long fromMs) {
        boolean isLowered = loweredAtMs != Long.MAX_VALUE && fromMs >= loweredAtMs + WINDOW_MS;
        Tenant limits = (isLowered ? tenants : originalTenants).get(tenant);
        return (limits.ratePerS() * WINDOW_MS / 1_000 + limits.burstSize()) * (1 + OVERAGE) + SLACK;
    }

    List<String> faults() {
        return faults;
    }

    long requests() {
        return requests;
    }

    long requestsWithinLimit() {
        return requestsWithinLimit;
    }

    long falselyExceeded() {
        return falselyExceeded;
    }

    long falselyUnavailable() {
        return falselyUnavailable;
    }
}
