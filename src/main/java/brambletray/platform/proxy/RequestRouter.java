package brambletray.platform.proxy;

import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.configuration.ClientLimits;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Service;
import brambletray.runtime.Machine;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Finds each request's route and starts its {@link RequestLifecycle}. The loop's. */
public final class RequestRouter {
    /** ms; told where nobody knows better when to come back. */
    static final int COME_BACK_MS = 200;
    /** ms; told while there is no configuration yet. */
    private static final int NO_CREED_MS = 800;
    /** Requests under way at one time. */
    private static final int TRIPS_MOST = 8_000;

    private final Machine machine;
    private final String edge;
    private final String zone;
    private final Supplier<Configuration> configuration;
    private final SlotBroker broker;
    private final Predicate<String> isHost;
    private final HostConnectionPools lines;
    private final RequestCounters counters;
    private final MemoryBudget hold;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();
    private final SplittableRandom shares;
    private final Map<String, HedgeDelay> paces = new HashMap<>();
    private long asks;
    private int waiting;
    private int trips;
    /** The process is about to end: each new request is refused. */
    private boolean refusing;

    /**
     * {@code edge}, {@code zone}: this machine's, for asks; {@code isHost}: whether an IP address is that of a host we
     * know, whose calls are inner ones; {@code mostBytes}: of requests and answers held at one time; above that new
     * ones are refused; {@code seed}: for the shares of routes.
     */
    public RequestRouter(
            Machine machine,
            String edge,
            String zone,
            Supplier<Configuration> configuration,
            SlotBroker broker,
            Predicate<String> isHost,
            HostConnectionPools lines,
            RequestCounters counters,
            long mostBytes,
            long seed) {
        this.machine = machine;
        this.edge = edge;
        this.zone = zone;
        this.configuration = configuration;
        this.broker = broker;
        this.isHost = isHost;
        this.lines = lines;
        this.counters = counters;
        this.hold = new MemoryBudget(mostBytes);
        this.shares = new SplittableRandom(seed);
        // Guards against the ids of the process before, whose asks homes may still know.
        this.asks = (seed & 0x3fffffffL) << 32;
    }

    /** Requests that clients wait for. */
    public int inFlight() {
        return waiting;
    }

    /** Those, and those whose work at a host goes on though nobody waits. */
    public int underWay() {
        return trips;
    }

    /** Bytes of requests and answers held. */
    public long held() {
        return hold.held();
    }

    ClientLimits limits() {
        return configuration.get().limits();
    }

    RateLimitedLog rateLimitedLog() {
        return rateLimitedLog;
    }

    MemoryBudget hold() {
        return hold;
    }

    /** From now on each new request is refused: nothing is left of the time in which it could be served. */
    void refuseNew() {
        refusing = true;
    }

    /** A request that could not be read. */
    void turnedAway(int status) {
        counters.wrong += status == 503 ? 0 : 1;
        counters.refused += status == 503 ? 1 : 0;
    }

    /** Starts a request on its way, or answers it. */
    void serve(ClientConnection client, ClientRequest clientRequest) {
        counters.requests++;
        HttpHeaders headers = clientRequest.headers();
        Iterator<String> ids = headers.valueStringIterator(ClientRequest.ID);
        String id = ids.hasNext() ? ids.next() : "";
        if (id.isEmpty() || ids.hasNext()) {
            counters.wrong++;
            own(client, clientRequest, 400, "proxy.no-id", -1, null);
            return;
        }
        Configuration now = configuration.get();
        if (now == Configuration.NONE) {
            counters.refused++;
            own(client, clientRequest, 503, "proxy.no-configuration", NO_CREED_MS, id);
            return;
        }
        Route route = now.match(headers.get(HttpHeaderNames.HOST), clientRequest.path());
        if (route == null) {
            counters.unrouted++;
            own(client, clientRequest, 404, "proxy.no-route", -1, id);
            return;
        }
        if (refusing || trips >= TRIPS_MOST) {
            counters.refused++;
            own(client, clientRequest, 503, refusing ? "proxy.ending" : "proxy.full", COME_BACK_MS, id);
            return;
        }
        String service = route.selectService(shares.nextDouble());
        Service known = now.services().get(service);
        RequestPlan plan = new RequestPlan(
                service,
                route.idempotent(),
                Math.max(1, route.retryCount()),
                route.priority(),
                route.latencyTargetMs(),
                isHost.test(client.ip()),
                end(headers, route, clientRequest.at()));
        RequestDriver driver = new RequestDriver(
                this, client, clientRequest, id, plan, known == null ? 4 : Math.max(4, known.maxConnections() / 4));
        trips++;
        waiting++;
        client.carried(driver);
        driver.begin();
    }

    private void own(
            ClientConnection client, ClientRequest clientRequest, int status, String code, int comeBackMs, String id) {
        int bytes = clientRequest.body().readableBytes();
        boolean bare = clientRequest.head();
        clientRequest.release();
        hold.give(bytes);
        client.own(status, code, comeBackMs, id, bare);
    }

    /** When the time of a request with this head is over, ms; {@link Long#MAX_VALUE} where it has no route. */
    long end(HttpHeaders headers, String uri, long at) {
        Route route = configuration.get().match(headers.get(HttpHeaderNames.HOST), ClientRequest.path(uri));
        return route == null ? Long.MAX_VALUE : end(headers, route, at);
    }

    private static long end(HttpHeaders headers, Route route, long at) {
        int untold = route.timeoutMs();
        return at + Math.min(remaining(headers.get(ClientRequest.REMAINING), untold), untold);
    }

    /** ms; what is not a number counts as untold. */
    private static long remaining(String told, int untold) {
        if (told == null || told.isEmpty() || told.length() > 9) {
            return untold;
        }
        long ms = 0;
        for (int i = 0; i < told.length(); i++) {
            int digit = told.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return untold;
            }
            ms = ms * 10 + digit;
        }
        return ms;
    }

    // ---- For carriages --------------------------------------------------------------------------
    Machine machine() {
        return machine;
    }

    long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    String edge() {
        return edge;
    }

    String zone() {
        return zone;
    }

    SlotBroker broker() {
        return broker;
    }

    HostConnectionPools lines() {
        return lines;
    }

    RequestCounters counters() {
        return counters;
    }

    long nextAsk() {
        return ++asks;
    }

    /** The delay of copies to this service. Bounded by the services in force. */
    HedgeDelay pace(String service) {
        HedgeDelay pace = paces.get(service);
        if (pace == null) {
            Map<String, Service> services = configuration.get().services();
            if (paces.size() > 64 + 2 * services.size()) {
                paces.keySet().retainAll(services.keySet());
            }
            pace = new HedgeDelay();
            paces.put(service, pace);
        }
        return pace;
    }

    void answered() {
        waiting--;
    }

    void over() {
        trips--;
    }
}
