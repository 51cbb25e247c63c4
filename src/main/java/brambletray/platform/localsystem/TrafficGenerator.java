package brambletray.platform.localsystem;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Route;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Clients: a steady trickle of requests that doesn't wait for answers, most of them to few services. For the loop only.
 */
final class TrafficGenerator implements TrafficRequest.Ways {
    /** Of ten requests, so many go to busy services. */
    private static final int BUSY_OF_TEN = 7;

    private static final int CLIENTS = 500;
    /** Requests under way; beyond them, what comes is counted as failed. */
    private static final int MOST = 5_000;
    /** ms after which a client that leaves early disconnects. */
    private static final int LEAVE_AFTER_MS = 300;

    private final Machine machine;
    private final LocalSite site;
    private final FrontEndBalancer fronts;
    private final ExecutionLedger ledger;
    private final RequestCounts counts;
    private final ClientConnections connections;
    private final Random random;
    private final List<Route> busy;
    private final List<Route> rare;
    private final int leavePercent;
    private final Map<TrafficRequest, ScheduledFuture<?>> underWay = new HashMap<>();
    private ScheduledFuture<?> pace;

    /** {@code leavePercent}: the share of requests whose clients disconnect early. */
    TrafficGenerator(
            Machine machine,
            LocalSite site,
            FrontEndBalancer fronts,
            Map<String, Route> routes,
            ExecutionLedger ledger,
            RequestCounts counts,
            int leavePercent,
            long seed) {
        this.machine = machine;
        this.leavePercent = leavePercent;
        this.site = site;
        this.fronts = fronts;
        this.ledger = ledger;
        this.counts = counts;
        this.connections = new ClientConnections(machine);
        this.random = new Random(seed);
        busy = routes.values().stream()
                .filter(route -> route.shares().get(0).service().startsWith("busy"))
                .toList();
        rare = routes.values().stream().filter(route -> !busy.contains(route)).toList();
    }

    /** Begins to send so many requests a second. */
    void begin(int aSecond) {
        pace = machine.loop().scheduleAtFixedRate(this::come, 0, 1_000_000 / aSecond, TimeUnit.MICROSECONDS);
    }

    /** No further requests; those under way go on. */
    void stop() {
        pace.cancel(false);
    }

    int underWay() {
        return underWay.size();
    }

    private void come() {
        counts.requests++;
        if (underWay.size() >= MOST) {
            counts.failed++;
            return;
        }
        List<Route> of = random.nextInt(10) < BUSY_OF_TEN ? busy : rare;
        Route route = of.get(random.nextInt(of.size()));
        int client = random.nextInt(CLIENTS);
        String path = route.prefix() + Integer.toHexString(random.nextInt());
        byte[] body = route.idempotent()
                ? new byte[0]
                : ("{\"amount\":" + random.nextInt(1_000) + '}').getBytes(StandardCharsets.US_ASCII);
        TrafficRequest request = new TrafficRequest(
                route, LocalSite.ZONES.get(client % LocalSite.ZONES.size()), client, path, body, ledger, this, now());
        underWay.put(request, machine.loop().schedule(request::expired, route.timeoutMs(), TimeUnit.MILLISECONDS));
        request.go(now());
        if (leavePercent > 0 && random.nextInt(100) < leavePercent) {
            boolean reset = random.nextBoolean();
            machine.loop().schedule(() -> leave(request, reset), LEAVE_AFTER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void leave(TrafficRequest request, boolean reset) {
        if (!request.isOver()) {
            request.left(connections.disconnect(request, reset), now());
        }
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    @Override
    public String send(TrafficRequest request, int turn, int remainingMs) {
        String attempt = Long.toHexString(random.nextLong() | Long.MIN_VALUE);
        request.names(attempt, request.attempt());
        LocalSite.ProcessSpec edge = fronts.pick(request.zone, request.hash(), turn);
        boolean fresh = turn > 0 || !request.route.idempotent() || random.nextInt(3) == 0;
        connections.send(
                edge.ip(),
                site.ports().frontEnd(),
                new ClientConnections.PendingRequest(request, attempt, remainingMs, fresh));
        return attempt;
    }

    @Override
    public void pause(TrafficRequest request, int ms) {
        machine.loop().schedule(() -> request.go(now()), ms, TimeUnit.MILLISECONDS);
    }

    @Override
    public void over(TrafficRequest request, TrafficRequest.End end) {
        underWay.remove(request).cancel(false);
        switch (end) {
            case ANSWERED -> counts.answered++;
            case LATE -> counts.late++;
            case REFUSED -> counts.refused++;
            case FAILED -> counts.failed++;
            case LEFT -> counts.left++;
        }
    }
}
