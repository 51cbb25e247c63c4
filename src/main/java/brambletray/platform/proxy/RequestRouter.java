package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.configuration.ClientLimits;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.RouteKind;
import brambletray.platform.configuration.Service;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationIdentity;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Finds each request's route and starts its {@link RequestLifecycle}. Used on the event loop only. */
public final class RequestRouter {
    /** Retry-After in ms if no better estimate is known. */
    static final int RETRY_AFTER_MS = 200;
    /** Retry-After in ms while there is no configuration yet. */
    private static final int NO_CONFIGURATION_RETRY_MS = 800;
    /** Retry-After in ms if the configuration here may be outdated: about the time that a change takes to arrive. */
    private static final int OUTDATED_RETRY_MS = 400;
    /** Maximum number of concurrent requests. */
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
    /** The process is shutting down: each new request is rejected. */
    private boolean rejectingNew;

    /**
     * {@code edge}, {@code zone}: name and zone of this machine, for slot requests; {@code isInstanceIp}: whether an IP
     * address is that of a known instance, whose calls are nested ones; {@code maxBytes}: limit of buffered requests
     * and responses, above which new requests are rejected; {@code seed}: for the weighted routes.
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
        // Avoids the ids used by the previous process, whose slot requests the services' home edges may still have.
        this.lastRequestId = (seed & 0x3fffffffL) << 32;
    }

    /** Number of requests whose clients wait for a response. */
    public int inFlight() {
        return waitingClients;
    }

    /** Number of requests in flight, including those that an instance still works on although no client waits. */
    public int activeRequests() {
        return activeRequests;
    }

    /** Bytes of buffered requests and responses. */
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

    /** Rejects each new request from now on, as no time is left to serve it before the process ends. */
    void rejectNew() {
        rejectingNew = true;
    }

    /** Counts a request that was rejected while it was read. */
    void countRejected(int status) {
        counters.clientErrors += status == 503 ? 0 : 1;
        counters.unavailable += status == 503 ? 1 : 0;
    }

    /** Starts the lifecycle of a request, or responds to it directly. */
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
        Configuration currentConfiguration = configuration.current();
        if (currentConfiguration == Configuration.NONE) {
            counters.unavailable++;
            respond(client, clientRequest, 503, "proxy.no-configuration", NO_CONFIGURATION_RETRY_MS, id);
            return;
        }
        Route route = currentConfiguration.match(headers.get(HttpHeaderNames.HOST), clientRequest.path());
        if (route == null) {
            deny(client, clientRequest, 404, "proxy.no-route", id);
            return;
        }
        if (rejectingNew || activeRequests >= MAX_REQUESTS) {
            counters.unavailable++;
            respond(client, clientRequest, 503, rejectingNew ? "proxy.ending" : "proxy.full", RETRY_AFTER_MS, id);
            return;
        }
        TenantAuthentication authentication = TenantAuthentication.of(headers, currentConfiguration, route);
        if (!authentication.accepted()) {
            deny(client, clientRequest, 401, "proxy.unknown-key", id);
            return;
        }
        Tenant tenant = authentication.tenant();
        // An edge with an older configuration may take a keyed route for another type: the operation key alone decides.
        OperationIdentity operation = clientRequest.operation(authentication);
        if (operation == null && route.kind() == RouteKind.KEYED) {
            counters.clientErrors++;
            respond(client, clientRequest, 400, "proxy.no-operation-key", -1, id);
            return;
        }
        String serviceName = route.selectService(serviceRandom.nextDouble());
        Service service = currentConfiguration.services().get(serviceName);
        RequestPlan plan = new RequestPlan(
                serviceName,
                route.idempotent() && operation == null,
                Math.max(1, route.retryCount()),
                RequestPlan.owner(tenant, route),
                route.latencyTargetMs(),
                isInstanceIp.test(client.clientIp()),
                tenant,
                operation,
                service != null && service.selfDedupe(),
                deadlineMs(headers, route, clientRequest.receivedAtMs()));
        RequestDriver driver = new RequestDriver(
                this, client, clientRequest, id, plan, service == null ? 4 : Math.max(4, service.maxConnections() / 4));
        activeRequests++;
        waitingClients++;
        client.onDriverStarted(driver);
        driver.start();
    }

    /** Rejects a request that the configuration here does not allow; with 503 if a newer one may allow it. */
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

    /** Deadline of a request with these headers, in ms; {@link Long#MAX_VALUE} if no route matches. */
    long deadlineMs(HttpHeaders headers, String uri, long receivedAtMs) {
        Route route = configuration.current().match(headers.get(HttpHeaderNames.HOST), ClientRequest.path(uri));
        return route == null ? Long.MAX_VALUE : deadlineMs(headers, route, receivedAtMs);
    }

    private static long deadlineMs(HttpHeaders headers, Route route, long receivedAtMs) {
        int defaultMs = route.timeoutMs();
        return receivedAtMs + Math.min(remainingMs(headers.get(ClientRequest.REMAINING), defaultMs), defaultMs);
    }

    /** Remaining time in ms stated by the client, or {@code defaultMs} if it is missing or not a number. */
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

    /** Hedging delay of this service. The map is bounded by the number of configured services. */
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
