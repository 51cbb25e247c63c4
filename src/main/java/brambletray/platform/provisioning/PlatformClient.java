package brambletray.platform.provisioning;

import brambletray.common.runtime.Machine;
import brambletray.platform.http.HeaderText;
import brambletray.platform.logging.EventLog;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Client of the platform's HTTP interface ({@code cloud-api.address}): starts, stops and lists instances. Each start
 * and stop carries the caller's name and fencing token; pages of the list are requested no faster than the platform
 * accepts. Every call is answered exactly once. To be used on its loop only.
 */
public final class PlatformClient {
    private static final EventLog LOG = EventLog.of("provisioning");
    private static final int MAX_PAGES = 64;
    private static final int MAX_PAGE_ATTEMPTS = 3;
    /** ms before a page that was refused is asked for again. */
    private static final long PAGE_BACKOFF_MS = 200;

    /**
     * How this process identifies itself to the platform: {@code holder} is the node's name, {@code fencingToken} the
     * term of its lease.
     */
    public record CallerIdentity(String holder, long fencingToken) {}

    /** A list that came, or not: {@code complete} only with its last page. */
    @FunctionalInterface
    public interface ListCallback {
        /** The platform's list, or what has come of it where it is not {@code complete}. */
        void onList(List<ListedInstance> hosts, boolean complete);
    }

    private final Machine machine;
    private final PlatformHttpClient httpClient;
    private final PlatformJson json = new PlatformJson();
    private final String[] headers;
    private final BooleanSupplier mayAct;
    private final double listsPerMs;
    private double tokens = 1;
    private long tokensUpdatedAtMs;
    private boolean closed;

    /**
     * {@code perS}: lists the platform accepts a second; {@code mayAct}: whether the caller still holds its fencing
     * token's term, asked right before a start or stop goes out.
     */
    public PlatformClient(
            Machine machine, InetSocketAddress address, CallerIdentity name, double perS, BooleanSupplier mayAct) {
        this.machine = machine;
        this.httpClient = new PlatformHttpClient(machine, address);
        this.headers = new String[] {
            "Brambletray-Duty-Holder",
            HeaderText.encode(name.holder()),
            "Brambletray-Fence-Token",
            Long.toString(name.fencingToken())
        };
        this.mayAct = mayAct;
        this.listsPerMs = perS * 0.9 / 1000;
        this.tokensUpdatedAtMs = now();
    }

    /** {@code POST /brambletray/begin}. */
    public void begin(String service, String worker, String nonce, Consumer<StartResponse> whenAnswered) {
        byte[] body = json.object("service", service, "worker", worker, "request-nonce", nonce);
        httpClient.call(
                "/brambletray/begin",
                body,
                mayAct,
                (status, answer) -> whenAnswered.accept(parseStarted(status, answer)),
                headers);
    }

    /** {@code POST /brambletray/stop}. */
    public void stop(String id, Consumer<CallResult> whenAnswered) {
        httpClient.call(
                "/brambletray/stop",
                json.object("instance-id", id),
                mayAct,
                (status, answer) -> whenAnswered.accept(resultOf(status)),
                headers);
    }

    /** {@code GET /brambletray/workers}; null: they did not come. */
    public void workers(Consumer<List<WorkerInfo>> whenAnswered) {
        runPaced(() -> httpClient.get(
                "/brambletray/workers", (status, answer) -> whenAnswered.accept(parseWorkers(status, answer))));
    }

    /** {@code GET /instances}, page by page. */
    public void list(ListCallback whenAnswered) {
        page(new ArrayList<>(), null, 1, 1, whenAnswered);
    }

    /** Ends all calls without an answer. */
    public void close() {
        closed = true;
        httpClient.close();
    }

    private void page(List<ListedInstance> before, String token, int number, int tried, ListCallback whenAnswered) {
        String path = token == null
                ? "/instances"
                : "/instances?page-token=" + URLEncoder.encode(token, StandardCharsets.UTF_8);
        runPaced(() -> httpClient.get(path, (status, body) -> {
            if (status == 429 && tried < MAX_PAGE_ATTEMPTS && !closed) {
                machine.loop()
                        .schedule(
                                () -> page(before, token, number, tried + 1, whenAnswered),
                                PAGE_BACKOFF_MS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            PlatformJson.Page page = parseInstances(status, body);
            if (page == null) {
                whenAnswered.onList(before, false);
                return;
            }
            before.addAll(page.instances());
            if (page.next() != null && number < MAX_PAGES) {
                page(before, page.next(), number + 1, 1, whenAnswered);
            } else {
                whenAnswered.onList(before, page.next() == null);
            }
        }));
    }

    /** Now, or once the rate allows it. */
    private void runPaced(Runnable call) {
        long now = now();
        tokens = Math.min(Math.max(1, listsPerMs * 200), tokens + (now - tokensUpdatedAtMs) * listsPerMs);
        tokensUpdatedAtMs = now;
        tokens--;
        if (tokens >= 0) {
            call.run();
        } else {
            machine.loop().schedule(call, (long) Math.ceil(-tokens / listsPerMs), TimeUnit.MILLISECONDS);
        }
    }

    private StartResponse parseStarted(int status, byte[] body) {
        CallResult result = resultOf(status);
        if (result != CallResult.OK) {
            return StartResponse.of(result);
        }
        try {
            return json.parseStarted(body);
        } catch (ProvisioningException e) {
            LOG.warn("response-invalid")
                    .with("call", "begin")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return StartResponse.of(CallResult.UNKNOWN);
        }
    }

    private List<WorkerInfo> parseWorkers(int status, byte[] body) {
        try {
            return status == 200 ? json.parseWorkers(body) : null;
        } catch (ProvisioningException e) {
            LOG.warn("response-invalid")
                    .with("call", "workers")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return null;
        }
    }

    private PlatformJson.Page parseInstances(int status, byte[] body) {
        try {
            return status == 200 ? json.parseInstances(body) : null;
        } catch (ProvisioningException e) {
            LOG.warn("response-invalid")
                    .with("call", "list")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return null;
        }
    }

    private static CallResult resultOf(int status) {
        return switch (status) {
            case 200 -> CallResult.OK;
            case 400 -> CallResult.MALFORMED;
            case 403, 412 -> CallResult.FENCED;
            case 404 -> CallResult.NO_SUCH;
            case 409 -> CallResult.REJECTED;
            case 429 -> CallResult.BUSY;
            default -> CallResult.UNKNOWN;
        };
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(machine.clock().nanos());
    }
}
