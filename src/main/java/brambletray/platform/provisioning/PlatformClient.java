package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import brambletray.runtime.Machine;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The platform's interface: starts, stops and lists, over HTTP ({@code cloud-api.address}). Says who it is and under
 * which fence with each start and stop; never asks for more pages a second than the platform accepts. Every call is
 * answered once. On its loop only.
 */
public final class PlatformClient {
    private static final EventLog LOG = EventLog.of("provisioning");
    private static final int PAGES_MOST = 64;
    private static final int PAGE_TRIES = 3;
    /** ms before a page that was refused is asked for again. */
    private static final long PAGE_PAUSE = 200;

    /**
     * What the platform is told of its caller: {@code holder} is the node's name, {@code fence} the term of its duty.
     */
    public record Name(String holder, long fence) {}

    /** A list that came, or not: {@code complete} only with its last page. */
    @FunctionalInterface
    public interface Lister {
        void came(List<ListedInstance> hosts, boolean complete);
    }

    private final Machine machine;
    private final PlatformHttpClient caller;
    private final PlatformJson pages = new PlatformJson();
    private final String[] headers;
    private final double perMs;
    private double tokens = 1;
    private long tokensAt;
    private boolean closed;

    /** {@code perS}: lists the platform accepts a second. */
    public PlatformClient(Machine machine, InetSocketAddress address, Name name, double perS) {
        this.machine = machine;
        this.caller = new PlatformHttpClient(machine, address);
        this.headers = new String[] {
            "Brambletray-Duty-Holder", name.holder(), "Brambletray-Fence-Token", Long.toString(name.fence())
        };
        this.perMs = perS * 0.9 / 1000;
        this.tokensAt = now();
    }

    /** {@code POST /brambletray/begin}. */
    public void begin(String service, String worker, String nonce, Consumer<StartResponse> whenAnswered) {
        byte[] body = pages.object("service", service, "worker", worker, "request-nonce", nonce);
        caller.call(
                "/brambletray/begin", body, (status, answer) -> whenAnswered.accept(begun(status, answer)), headers);
    }

    /** {@code POST /brambletray/stop}. */
    public void stop(String id, Consumer<CallResult> whenAnswered) {
        caller.call(
                "/brambletray/stop",
                pages.object("instance-id", id),
                (status, answer) -> whenAnswered.accept(result(status)),
                headers);
    }

    /** {@code GET /brambletray/workers}; null: they did not come. */
    public void workers(Consumer<List<WorkerInfo>> whenAnswered) {
        paced(() -> caller.call(
                "/brambletray/workers", null, (status, answer) -> whenAnswered.accept(workers(status, answer))));
    }

    /** {@code GET /instances}, page by page. */
    public void list(Lister whenAnswered) {
        page(new ArrayList<>(), null, 1, 1, whenAnswered);
    }

    /** Ends all calls without an answer. */
    public void close() {
        closed = true;
        caller.close();
    }

    private void page(List<ListedInstance> before, String token, int number, int tried, Lister whenAnswered) {
        String path = token == null
                ? "/instances"
                : "/instances?page-token=" + URLEncoder.encode(token, StandardCharsets.UTF_8);
        paced(() -> caller.call(path, null, (status, body) -> {
            if (status == 429 && tried < PAGE_TRIES && !closed) {
                machine.loop()
                        .schedule(
                                () -> page(before, token, number, tried + 1, whenAnswered),
                                PAGE_PAUSE,
                                TimeUnit.MILLISECONDS);
                return;
            }
            PlatformJson.Page page = hosts(status, body);
            if (page == null) {
                whenAnswered.came(before, false);
                return;
            }
            before.addAll(page.hosts());
            if (page.next() != null && number < PAGES_MOST) {
                page(before, page.next(), number + 1, 1, whenAnswered);
            } else {
                whenAnswered.came(before, page.next() == null);
            }
        }));
    }

    /** Now, or once the rate allows it. */
    private void paced(Runnable call) {
        long now = now();
        tokens = Math.min(Math.max(1, perMs * 200), tokens + (now - tokensAt) * perMs);
        tokensAt = now;
        tokens--;
        if (tokens >= 0) {
            call.run();
        } else {
            machine.loop().schedule(call, (long) Math.ceil(-tokens / perMs), TimeUnit.MILLISECONDS);
        }
    }

    private StartResponse begun(int status, byte[] body) {
        CallResult result = result(status);
        if (result != CallResult.OK) {
            return StartResponse.of(result);
        }
        try {
            return pages.begun(body);
        } catch (ProvisioningException e) {
            LOG.warn("answer not understood")
                    .with("call", "begin")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return StartResponse.of(CallResult.UNKNOWN);
        }
    }

    private List<WorkerInfo> workers(int status, byte[] body) {
        try {
            return status == 200 ? pages.workers(body) : null;
        } catch (ProvisioningException e) {
            LOG.warn("answer not understood")
                    .with("call", "workers")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return null;
        }
    }

    private PlatformJson.Page hosts(int status, byte[] body) {
        try {
            return status == 200 ? pages.hosts(body) : null;
        } catch (ProvisioningException e) {
            LOG.warn("answer not understood")
                    .with("call", "list")
                    .with("code", e.code())
                    .with("why", e.getMessage())
                    .log();
            return null;
        }
    }

    private static CallResult result(int status) {
        return switch (status) {
            case 200 -> CallResult.OK;
            case 400 -> CallResult.BAD;
            case 403, 412 -> CallResult.FENCED;
            case 404 -> CallResult.NO_SUCH;
            case 409 -> CallResult.REFUSED;
            case 429 -> CallResult.BUSY;
            default -> CallResult.UNKNOWN;
        };
    }

    private long now() {
        return TimeUnit.NANOSECONDS.toMillis(machine.clock().nanos());
    }
}
