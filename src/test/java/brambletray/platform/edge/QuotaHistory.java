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
 * A simulated history: successive coordinators that issue rights, edges that request them, and a count of the requests
 * that arrive at instances. Deterministic for a seed; time is virtual.
 */
final class QuotaHistory {
    /** Faults injected into the implementation to show that the check detects them. */
    enum InjectedFault {
        NONE,
        SECOND_ISSUER,
        EXPIRED_RIGHTS_SPENT,
        FORMER_RIGHTS_AFTER_RESTART,
        NEW_ISSUER_WITH_FULL_BUCKET,
        RETRIES_NOT_COUNTED
    }

    /** Failures and load changes in the fleet. */
    enum FleetEvent {
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
    private static final int LINK_LOSS_DETECTION_MS = 1_000;
    private static final int FLOOD_FACTOR = 8;
    private static final int FLOOD_MS = 15_000;
    private static final int GENERAL_FLOOD_FACTOR = 8;
    /** A partition affects one in this many edges. */
    private static final int CUT_OFF_INVERSE_RATIO = 3;

    private static final int STALL_MS = 3_000;
    private static final int CRASH_RESTART_MS = 100;
    /** Ratio of a tenant's limit to its usual demand. */
    private static final double LIMIT_FACTOR = 1.6;

    private static final double RETRY_SHARE = 0.05;
    private static final double WAIT_SHARE = 0.1;
    private static final int MAX_WAIT_MS = 600;
    /** Time in ms by which the clock of an issuer that starts with full buckets is set back. */
    private static final long FULL_BUCKET_MS = 60_000;

    private record Event(long atMs, long order, Runnable action) {}

    /** The coordinator of one term. */
    private final class Issuer {
        private final long term;
        private final TenantQuotas quotas = new TenantQuotas(new QuotaParameters(WINDOW_MS, OVERAGE, SLACK));
        private boolean isStopped;
        private boolean isCutOff;

        private Issuer(long term) {
            this.term = term;
            boolean full = injectedFault == InjectedFault.NEW_ISSUER_WITH_FULL_BUCKET && term > 1;
            quotas.updateTenants(tenants, nowMs - (full ? FULL_BUCKET_MS : 0));
        }

        private void receive(EdgeProcess edge, Object frame) {
            if (frame instanceof QuotaRequest request) {
                QuotaResponse response =
                        quotas.onRequest(new EdgeIncarnation(edge.name, edge.incarnation), request, nowMs);
                if (response instanceof QuotaGrant grant) {
                    edge.lastRunAheads.put(request.tenant(), grant.runAhead());
                }
                edge.after(edge.delayMs, () -> {
                    if (edge.issuer == this && edge.canReach(this)) {
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

    /** A process of an edge. */
    private final class EdgeProcess {
        private final String name;
        private final long incarnation;
        private final int delayMs = 1 + random.nextInt(20);
        private final boolean isOnIssuersSide = random.nextBoolean();
        /** How far its monotonic clock is behind the virtual time, ms. */
        private final long clockOffsetMs = random.nextInt(1_000_000) - 500_000;

        private final QuotaClient client;
        /** The run-ahead allowance of the last grant, by tenant. */
        private final Map<String, Integer> lastRunAheads = new HashMap<>();

        private long lastRequestId;
        private boolean isDead;
        private long frozenUntilMs;
        private long cutUntilMs;
        private Issuer issuer;
        private long unreachableSinceMs = -1;

        private EdgeProcess(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            client = new QuotaClient(this::send, () -> nowMs - clockOffsetMs, WINDOW_MS);
            after(random.nextInt(TICK_MS), this::tick);
        }

        /** Runs the action after this delay, but not while the process is frozen. */
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

        private boolean canReach(Issuer other) {
            return !other.isStopped && nowMs >= cutUntilMs && (!other.isCutOff || isOnIssuersSide);
        }

        private boolean send(Object frame) {
            if (frame instanceof QuotaRequest request) {
                lastRequestId = request.id();
            }
            if (issuer == null) {
                return false;
            }
            Issuer to = issuer;
            boolean sent = canReach(to);
            at(nowMs + delayMs, () -> {
                if (sent && canReach(to)) {
                    to.receive(this, frame);
                }
            });
            return true;
        }

        /** Restores the allowances of the previous process, as if they had been stored on disk. */
        private void restore(Map<String, Integer> former) {
            former.forEach((tenant, runAhead) -> {
                client.acquire(
                        originalTenants.get(tenant), new Request(this, originalTenants.get(tenant), false, true));
                client.onResponse(new QuotaGrant(lastRequestId, runAhead));
                lastRunAheads.put(tenant, runAhead);
            });
        }

        private void tick() {
            if (issuer != null && canReach(issuer)) {
                unreachableSinceMs = -1;
            } else if (issuer != null) {
                unreachableSinceMs = unreachableSinceMs < 0 ? nowMs : unreachableSinceMs;
                boolean isNoticed = issuer.isStopped && nowMs >= cutUntilMs;
                issuer = isNoticed || nowMs - unreachableSinceMs >= LINK_LOSS_DETECTION_MS ? null : issuer;
            }
            if (issuer == null && current != null && canReach(current)) {
                issuer = current;
                unreachableSinceMs = -1;
                client.onAttached(current.term);
            }
            client.tick(issuer != null);
            after(TICK_MS, this::tick);
        }
    }

    /** A request with its retry, if any. */
    private final class Request implements QuotaGate.Listener {
        private final EdgeProcess edge;
        private final Tenant tenant;
        private final boolean isWithinLimit;
        private final boolean isUnused;
        private boolean isRetry;

        private Request(EdgeProcess edge, Tenant tenant, boolean isWithinLimit, boolean isUnused) {
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
            if (!right.isValid() && injectedFault != InjectedFault.EXPIRED_RIGHTS_SPENT) {
                acquire();
                return;
            }
            right.spend();
            arrive();
            if (random.nextDouble() < RETRY_SHARE * (injectedFault == InjectedFault.RETRIES_NOT_COUNTED ? 6 : 1)
                    && !isRetry) {
                isRetry = true;
                retry();
            }
        }

        private void retry() {
            if (injectedFault == InjectedFault.RETRIES_NOT_COUNTED) {
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
    private final InjectedFault injectedFault;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, Tenant> originalTenants = new HashMap<>();
    private final List<EdgeProcess> edges = new ArrayList<>();
    private final Map<String, List<Long>> arrivals = new HashMap<>();
    private final Map<String, List<Long>> demands = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final int cutMs;
    private Issuer current;
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

    /** Number of edges and tenants. */
    record Fleet(int edges, int tenants) {
        static final Fleet LARGE = new Fleet(89, 87);
        static final Fleet MEDIUM = new Fleet(61, 73);
        static final Fleet SMALL = new Fleet(6, 12);
    }

    /** Selects the fleet by the seed. */
    QuotaHistory(long seed, InjectedFault injectedFault, int cutMs) {
        this(seed, injectedFault, cutMs, seed % 2 == 0 ? Fleet.LARGE : Fleet.MEDIUM);
    }

    QuotaHistory(long seed, InjectedFault injectedFault, int cutMs, Fleet fleet) {
        this.random = new Random(seed);
        this.injectedFault = injectedFault;
        this.cutMs = cutMs;
        addTenants(fleet.tenants());
        for (int i = 0; i < fleet.edges(); i++) {
            edges.add(new EdgeProcess("edge-" + i, 1));
        }
        current = new Issuer(1);
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

    /** Runs with random events. */
    void play() {
        int count = 3 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            FleetEvent fault = FleetEvent.values()[random.nextInt(FleetEvent.values().length)];
            at(10_000 + random.nextInt(40_000), () -> inject(fault));
        }
        run(END_MS);
    }

    /** Runs with these events at these times. */
    void play(Map<Integer, FleetEvent> timeline) {
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
        EdgeProcess edge = edges.get(random.nextInt(edges.size()));
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

    private void inject(FleetEvent fault) {
        faults.add(nowMs + " ms: " + fault);
        switch (fault) {
            case HALF_OF_THE_EDGES_DIE -> killHalfOfTheEdges();
            case EDGES_ARE_CUT_OFF ->
                edges.forEach(edge -> {
                    edge.cutUntilMs = random.nextInt(CUT_OFF_INVERSE_RATIO) == 0 ? nowMs + cutMs : edge.cutUntilMs;
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

    private void killHalfOfTheEdges() {
        for (int i = 0; i < edges.size(); i++) {
            if (random.nextBoolean() && !edges.get(i).isDead) {
                EdgeProcess dead = edges.get(i);
                dead.isDead = true;
                int index = i;
                at(nowMs + 500 + random.nextInt(6_000), () -> edges.set(index, restarted(dead)));
            }
        }
    }

    private void restartCutOffEdges() {
        for (int i = 0; i < edges.size(); i++) {
            EdgeProcess dead = edges.get(i);
            if (nowMs < dead.cutUntilMs && !dead.isDead) {
                dead.isDead = true;
                int index = i;
                at(nowMs + CRASH_RESTART_MS, () -> edges.set(index, restarted(dead)));
            }
        }
    }

    private EdgeProcess restarted(EdgeProcess dead) {
        EdgeProcess next = new EdgeProcess(dead.name, dead.incarnation + 1);
        next.cutUntilMs = dead.cutUntilMs;
        if (injectedFault == InjectedFault.FORMER_RIGHTS_AFTER_RESTART) {
            next.restore(dead.lastRunAheads);
        }
        return next;
    }

    /** Stops or partitions the coordinator; the next one starts once its lease has certainly expired. */
    private void loseCoordinator(boolean isCutOff) {
        if (current == null) {
            return;
        }
        Issuer lost = current;
        current = null;
        lost.isCutOff = isCutOff;
        lost.isStopped = !isCutOff;
        long pauseMs = 1_000 + random.nextInt(1_500);
        if (injectedFault != InjectedFault.SECOND_ISSUER) {
            at(nowMs + random.nextInt(1_000), () -> lost.isStopped = true);
        }
        at(nowMs + pauseMs, () -> current = new Issuer(lost.term + 1));
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

    /** The largest excess of arrivals over the limit, over all windows and tenants; above 0: a fault. */
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
            largest = Math.max(largest, last - first + 1 - allowedArrivals(tenant, times.get(first)));
        }
        return largest;
    }

    /** A lowered limit applies one window after the change. */
    private double allowedArrivals(String tenant, long fromMs) {
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
