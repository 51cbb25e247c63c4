package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.configuration.ClientLimits;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.RouteKind;
import brambletray.platform.configuration.Service;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationKey;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Finds each request's route and starts its {@link RequestLifecycle}. The loop's. */
public final class RequestRouter {
    /** Time to retry in ms where nobody knows better. */
    static final int RETRY_AFTER_MS = 200;
    /** Time to retry in ms while there is no configuration yet. */
    private static final int NO_CONFIGURATION_RETRY_MS = 800;
    /** Time to retry in ms where the configuration here may be outdated: about what a change takes to arrive. */
    private static final int OUTDATED_RETRY_MS = 400;
    /** Requests under way at one time. */
    private static final int MAX_REQUESTS = 8_000;

    private final Machine machine;
    private final String edge;
    private final String zone;
    private final ConfigurationSource configuration;
    private final SlotBroker broker;
    private final QuotaGate quotaGate;
    private final OperationGate operationGate;
    private final Predicate<String> isInstanceIp;
    private final HostConnectionPools connectionPools;
    private final RequestCounters counters;
    private final MemoryBudget memoryBudget;
    private final RateLimitedLog rateLimitedLog = new RateLimitedLog();
    private final SplittableRandom serviceRandom;
    private final Map<String, HedgeDelay> hedgeDelays = new HashMap<>();
    private long lastRequestId;
    private int waitingClients;
    private int activeRequests;
    /** The process is about to end: each new request is refused. */
    private boolean rejectingNew;

    /**
     * {@code edge}, {@code zone}: this machine's, for slot requests; {@code isInstanceIp}: whether an IP address is
     * that of a known host, whose calls are nested ones; {@code maxBytes}: of requests and responses buffered at one
     * time, above which new requests are rejected; {@code seed}: for the weighted routes.
     */
    public RequestRouter(
            Machine machine,
            String edge,
            String zone,
            ConfigurationSource configuration,
            SlotBroker broker,
            QuotaGate quotaGate,
            OperationGate operationGate,
            Predicate<String> isInstanceIp,
            HostConnectionPools connectionPools,
            RequestCounters counters,
            long maxBytes,
            long seed) {
        this.machine = machine;
        this.edge = edge;
        this.zone = zone;
        this.configuration = configuration;
        this.broker = broker;
        this.quotaGate = quotaGate;
        this.operationGate = operationGate;
        this.isInstanceIp = isInstanceIp;
        this.connectionPools = connectionPools;
        this.counters = counters;
        this.memoryBudget = new MemoryBudget(maxBytes);
        this.serviceRandom = new SplittableRandom(seed);
        // Avoids the ids of the previous process, whose slot requests homes may still know.
        this.lastRequestId = (seed & 0x3fffffffL) << 32;
    }

    /** Requests that clients wait for. */
    public int inFlight() {
        return waitingClients;
    }

    /** Those, and those whose work at a host goes on though nobody waits. */
    public int activeRequests() {
        return activeRequests;
    }

    /** Bytes of requests and answers held. */
    public long heldBytes() {
        return memoryBudget.heldBytes();
    }

    ClientLimits limits() {
        return configuration.current().limits();
    }

    RateLimitedLog rateLimitedLog() {
        return rateLimitedLog;
    }

    MemoryBudget memoryBudget() {
        return memoryBudget;
    }

    /** From now on each new request is refused: nothing is left of the time in which it could be served. */
    void rejectNew() {
        rejectingNew = true;
    }

    /** A request that could not be read. */
    void countRejected(int status) {
        counters.clientErrors += status == 503 ? 0 : 1;
        counters.unavailable += status == 503 ? 1 : 0;
    }

    /** Starts a request on its way, or answers it. */
    void serve(ClientConnection client, ClientRequest clientRequest) {
        counters.requests++;
        HttpHeaders headers = clientRequest.headers();
        Iterator<String> ids = headers.valueStringIterator(ClientRequest.ID);
        String id = ids.hasNext() ? ids.next() : "";
        if (id.isEmpty() || ids.hasNext()) {
            counters.clientErrors++;
            respond(client, clientRequest, 400, "proxy.no-id", -1, null);
            return;
        }
        Configuration now = configuration.current();
        if (now == Configuration.NONE) {
            counters.unavailable++;
            respond(client, clientRequest, 503, "proxy.no-configuration", NO_CONFIGURATION_RETRY_MS, id);
            return;
        }
        Route route = now.match(headers.get(HttpHeaderNames.HOST), clientRequest.path());
        if (route == null) {
            deny(client, clientRequest, 404, "proxy.no-route", id);
            return;
        }
        if (rejectingNew || activeRequests >= MAX_REQUESTS) {
            counters.unavailable++;
            respond(client, clientRequest, 503, rejectingNew ? "proxy.ending" : "proxy.full", RETRY_AFTER_MS, id);
            return;
        }
        TenantAuthentication authentication = TenantAuthentication.of(headers, now, route);
        if (!authentication.accepted()) {
            deny(client, clientRequest, 401, "proxy.unknown-key", id);
            return;
        }
        Tenant tenant = authentication.tenant();
        boolean keyed = route.kind() == RouteKind.KEYED;
        OperationKey operation = keyed ? clientRequest.operation(tenant) : null;
        if (keyed && operation == null) {
            counters.clientErrors++;
            respond(client, clientRequest, 400, "proxy.no-operation-key", -1, id);
            return;
        }
        String service = route.selectService(serviceRandom.nextDouble());
        Service known = now.services().get(service);
        RequestPlan plan = new RequestPlan(
                service,
                route.idempotent(),
                Math.max(1, route.retryCount()),
                RequestPlan.owner(tenant, route),
                route.latencyTargetMs(),
                isInstanceIp.test(client.clientIp()),
                tenant,
                operation,
                known != null && known.selfDedupe(),
                deadlineMs(headers, route, clientRequest.receivedAtMs()));
        RequestDriver driver = new RequestDriver(
                this, client, clientRequest, id, plan, known == null ? 4 : Math.max(4, known.maxConnections() / 4));
        activeRequests++;
        waitingClients++;
        client.onDriverStarted(driver);
        driver.start();
    }

    /** Answers a request that the configuration here does not allow; a newer one may allow it. */
    private void deny(ClientConnection client, ClientRequest clientRequest, int status, String code, String id) {
        if (configuration.mayBeOutdated()) {
            counters.unavailable++;
            respond(client, clientRequest, 503, "proxy.configuration-outdated", OUTDATED_RETRY_MS, id);
            return;
        }
        counters.unrouted += status == 404 ? 1 : 0;
        counters.unauthenticated += status == 401 ? 1 : 0;
        respond(client, clientRequest, status, code, -1, id);
    }

    private void respond(
            ClientConnection client,
            ClientRequest clientRequest,
            int status,
            String code,
            int retryAfterMs,
            String id) {
        int bytes = clientRequest.body().readableBytes();
        boolean withoutBody = clientRequest.isHeadRequest();
        clientRequest.release();
        memoryBudget.release(bytes);
        client.writeOwnResponse(status, code, retryAfterMs, id, withoutBody);
    }

    /** When the time of a request with this head is over, ms; {@link Long#MAX_VALUE} where it has no route. */
    long deadlineMs(HttpHeaders headers, String uri, long receivedAtMs) {
        Route route = configuration.current().match(headers.get(HttpHeaderNames.HOST), ClientRequest.path(uri));
        return route == null ? Long.MAX_VALUE : deadlineMs(headers, route, receivedAtMs);
    }

    private static long deadlineMs(HttpHeaders headers, Route route, long receivedAtMs) {
        int defaultMs = route.timeoutMs();
        return receivedAtMs + Math.min(remainingMs(headers.get(ClientRequest.REMAINING), defaultMs), defaultMs);
    }

    /** ms; what is not a number counts as untold. */
    private static long remainingMs(String stated, int defaultMs) {
        if (stated == null || stated.isEmpty() || stated.length() > 9) {
            return defaultMs;
        }
        long ms = 0;
        for (int i = 0; i < stated.length(); i++) {
            int digit = stated.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return defaultMs;
            }
            ms = ms * 10 + digit;
        }
        return ms;
    }

    // ---- For RequestDriver ----------------------------------------------------------------------
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

    QuotaGate quotaGate() {
        return quotaGate;
    }

    OperationGate operationGate() {
        return operationGate;
    }

    HostConnectionPools connectionPools() {
        return connectionPools;
    }

    RequestCounters counters() {
        return counters;
    }

    long nextRequestId() {
        return ++lastRequestId;
    }

    /** The delay of copies to this service. Bounded by the services in force. */
    HedgeDelay hedgeDelay(String service) {
        HedgeDelay delay = hedgeDelays.get(service);
        if (delay == null) {
            Map<String, Service> services = configuration.current().services();
            if (hedgeDelays.size() > 64 + 2 * services.size()) {
                hedgeDelays.keySet().retainAll(services.keySet());
            }
            delay = new HedgeDelay();
            hedgeDelays.put(service, delay);
        }
        return delay;
    }

    void onAnswered() {
        waitingClients--;
    }

    void onFinished() {
        activeRequests--;
    }
}
