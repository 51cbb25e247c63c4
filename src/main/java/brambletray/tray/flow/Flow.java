package brambletray.tray.flow;

import brambletray.runtime.Machine;
import brambletray.tray.creed.Creed;
import brambletray.tray.creed.Limits;
import brambletray.tray.creed.Route;
import brambletray.tray.creed.Service;
import brambletray.tray.home.Pace;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Finds each request's route and starts its {@link Trip}. The loop's. */
public final class Flow {
    /** ms; told where nobody knows better when to come back. */
    static final int COME_BACK_MS = 200;
    /** ms; told while there is no configuration yet. */
    private static final int NO_CREED_MS = 800;
    /** Requests under way at one time. */
    private static final int TRIPS_MOST = 8_000;

    private final Machine machine;
    private final String edge;
    private final String zone;
    private final Supplier<Creed> creed;
    private final Broker broker;
    private final Predicate<String> isHost;
    private final Lines lines;
    private final Tally tally;
    private final MemoryBudget hold;
    private final Murmur murmur = new Murmur();
    private final SplittableRandom shares;
    private final Map<String, Pace> paces = new HashMap<>();
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
    public Flow(
            Machine machine,
            String edge,
            String zone,
            Supplier<Creed> creed,
            Broker broker,
            Predicate<String> isHost,
            Lines lines,
            Tally tally,
            long mostBytes,
            long seed) {
        this.machine = machine;
        this.edge = edge;
        this.zone = zone;
        this.creed = creed;
        this.broker = broker;
        this.isHost = isHost;
        this.lines = lines;
        this.tally = tally;
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

    Limits limits() {
        return creed.get().limits();
    }

    Murmur murmur() {
        return murmur;
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
        tally.wrong += status == 503 ? 0 : 1;
        tally.refused += status == 503 ? 1 : 0;
    }

    /** Starts a request on its way, or answers it. */
    void serve(Client client, Parcel parcel) {
        tally.requests++;
        HttpHeaders headers = parcel.headers();
        Iterator<String> ids = headers.valueStringIterator(Parcel.ID);
        String id = ids.hasNext() ? ids.next() : "";
        if (id.isEmpty() || ids.hasNext()) {
            tally.wrong++;
            own(client, parcel, 400, "flow.no-id", -1, null);
            return;
        }
        Creed now = creed.get();
        if (now == Creed.NONE) {
            tally.refused++;
            own(client, parcel, 503, "flow.no-configuration", NO_CREED_MS, id);
            return;
        }
        Route route = now.match(headers.get(HttpHeaderNames.HOST), parcel.path());
        if (route == null) {
            tally.unrouted++;
            own(client, parcel, 404, "flow.no-route", -1, id);
            return;
        }
        if (refusing || trips >= TRIPS_MOST) {
            tally.refused++;
            own(client, parcel, 503, refusing ? "flow.ending" : "flow.full", COME_BACK_MS, id);
            return;
        }
        String service = route.pick(shares.nextDouble());
        Service known = now.services().get(service);
        Plan plan = new Plan(
                service,
                route.repeatable(),
                Math.max(1, route.retryCount()),
                route.priority(),
                route.targetMs(),
                isHost.test(client.ip()),
                end(headers, route, parcel.at()));
        Carriage carriage = new Carriage(
                this, client, parcel, id, plan, known == null ? 4 : Math.max(4, known.maxConnections() / 4));
        trips++;
        waiting++;
        client.carried(carriage);
        carriage.begin();
    }

    private void own(Client client, Parcel parcel, int status, String code, int comeBackMs, String id) {
        int bytes = parcel.body().readableBytes();
        boolean bare = parcel.head();
        parcel.release();
        hold.give(bytes);
        client.own(status, code, comeBackMs, id, bare);
    }

    /** When the time of a request with this head is over, ms; {@link Long#MAX_VALUE} where it has no route. */
    long end(HttpHeaders headers, String uri, long at) {
        Route route = creed.get().match(headers.get(HttpHeaderNames.HOST), Parcel.path(uri));
        return route == null ? Long.MAX_VALUE : end(headers, route, at);
    }

    private static long end(HttpHeaders headers, Route route, long at) {
        int untold = route.timeoutMs();
        return at + Math.min(remaining(headers.get(Parcel.REMAINING), untold), untold);
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

    Broker broker() {
        return broker;
    }

    Lines lines() {
        return lines;
    }

    Tally tally() {
        return tally;
    }

    long nextAsk() {
        return ++asks;
    }

    /** The delay of copies to this service. Bounded by the services in force. */
    Pace pace(String service) {
        Pace pace = paces.get(service);
        if (pace == null) {
            Map<String, Service> services = creed.get().services();
            if (paces.size() > 64 + 2 * services.size()) {
                paces.keySet().retainAll(services.keySet());
            }
            pace = new Pace();
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
