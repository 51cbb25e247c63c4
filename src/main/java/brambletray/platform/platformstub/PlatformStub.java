package brambletray.platform.platformstub;

import brambletray.platform.provisioning.CallResult;
import brambletray.platform.provisioning.ListedInstance;
import brambletray.platform.provisioning.StartResponse;
import brambletray.platform.provisioning.WorkerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * The platform as its protocol describes it. Every method takes the time, ms, which never goes back; whoever wants a
 * network with delays, lost answers or silence puts it in between.
 */
public final class PlatformStub {
    /** ms after which a host that has ended is forgotten. */
    private static final long FORGET = 120_000;
    /** ms beyond {@code drain-ms} that a host goes on. */
    private static final long AFTER_DRAIN = 300;

    private static final double LONGEST_BOOT = 6;

    /** One page of hosts, or a refusal for the rate ({@code hosts} null). */
    public record Page(List<ListedInstance> hosts, String next) {}

    private final PlatformParameters ground;
    private final Random random;
    private final CallRateLimiter lists;
    private final CallRateLimiter duties;
    private final Map<String, ServiceKind> kinds = new HashMap<>();
    private final Map<String, StubWorker> plots = new LinkedHashMap<>();
    private final Map<String, StubInstance> beings = new LinkedHashMap<>();
    private final Map<String, String> nonces = new HashMap<>();
    private final AddressPool lots;
    private long fence;
    private int made;
    private int starts;
    private int refusals;

    /** {@code seed}: of the times that starts take. */
    public PlatformStub(PlatformParameters ground, long seed, long now) {
        this(ground, seed, now, made -> "10.9." + made / 250 + '.' + (1 + made % 250) + ":8080");
    }

    /** {@code fresh}: the address for the next host by the number of those made before, where none is free again. */
    public PlatformStub(PlatformParameters ground, long seed, long now, IntFunction<String> fresh) {
        this.ground = ground;
        this.random = new Random(seed);
        this.lots = new AddressPool(ground.holdMs(), fresh);
        this.lists = new CallRateLimiter(ground.listsPerS(), now);
        this.duties = new CallRateLimiter(ground.dutiesPerS(), now);
    }

    public void worker(String name, String zone, int memoryMb, long now) {
        plots.put(name, new StubWorker(name, zone, memoryMb, now));
    }

    /** A service as it is from now on; {@code kind} null: it is gone. */
    public void service(String name, ServiceKind kind) {
        if (kind == null) {
            kinds.remove(name);
        } else {
            kinds.put(name, kind);
        }
    }

    /** {@code POST /brambletray/begin}. */
    public StartResponse begin(String service, String worker, String nonce, long term, long now) {
        if (!duties.pass(now)) {
            refusals++;
            return StartResponse.of(CallResult.BUSY);
        }
        if (term < fence) {
            return StartResponse.of(CallResult.FENCED);
        }
        fence = term;
        ServiceKind kind = kinds.get(service);
        if (kind == null || worker == null || nonce == null || nonce.isEmpty() || nonce.length() > 64) {
            return StartResponse.of(CallResult.BAD);
        }
        StubInstance known = beings.get(nonces.getOrDefault(service + ' ' + nonce, ""));
        if (known == null) {
            StubWorker plot = plots.get(worker);
            if (plot == null || plot.state(now) != StubWorker.State.OPERATIONAL || free(plot, now) < kind.memoryMb()) {
                return StartResponse.of(CallResult.REFUSED);
            }
            known = make(service, kind, plot, now);
            nonces.put(service + ' ' + nonce, known.id);
        }
        return new StartResponse(CallResult.OK, known.id, known.address);
    }

    /** {@code POST /brambletray/stop}. */
    public CallResult stop(String id, long term, long now) {
        if (!duties.pass(now)) {
            refusals++;
            return CallResult.BUSY;
        }
        if (term < fence) {
            return CallResult.FENCED;
        }
        fence = term;
        StubInstance being = beings.get(id);
        if (being == null) {
            return CallResult.NO_SUCH;
        }
        end(being, now, false);
        return CallResult.OK;
    }

    /**
     * {@code GET /instances}; {@code token} null: the first page. A page may start anew where hosts have ended
     * meanwhile.
     */
    public Page list(String token, long now) {
        if (!lists.pass(now)) {
            return new Page(null, null);
        }
        long at = now - ground.lagMs();
        List<ListedInstance> page = new ArrayList<>();
        boolean from = token == null;
        for (StubInstance being : beings.values()) {
            from |= being.id.equals(token);
            if (!from || !being.listed(at, ground.shownMs())) {
                continue;
            }
            if (page.size() == ground.page()) {
                return new Page(page, being.id);
            }
            page.add(new ListedInstance(
                    being.id, being.service, being.address, being.zone, being.worker, being.drainAt <= at));
        }
        return new Page(page, null);
    }

    /** {@code GET /brambletray/workers}; null: refused for the rate. */
    public List<WorkerInfo> workers(long now) {
        if (!lists.pass(now)) {
            return null;
        }
        long at = now - ground.lagMs();
        List<WorkerInfo> shown = new ArrayList<>();
        for (StubWorker plot : plots.values()) {
            StubWorker.State state = plot.state(at);
            if (state != StubWorker.State.DOWN) {
                shown.add(new WorkerInfo(
                        plot.name, plot.zone, plot.memoryMb, free(plot, at), state == StubWorker.State.DRAINING));
            }
        }
        return shown;
    }

    /** The worker drains: its hosts are listed as draining, and end. */
    public void drain(String worker, long now) {
        plots.get(worker).turn(StubWorker.State.DRAINING, now);
        for (StubInstance being : beings.values()) {
            if (being.worker.equals(worker)) {
                drainHost(being.id, now);
            }
        }
    }

    /** One host is listed as draining, and ends. */
    public void drainHost(String id, long now) {
        StubInstance being = beings.get(id);
        if (being.there(now) && being.drainAt == StubInstance.NEVER) {
            lots.ended(being);
            being.drain(now, now + ground.drainMs() + AFTER_DRAIN);
        }
    }

    /** The worker crashes, with all its hosts, and is back after so many ms. */
    public void crash(String worker, long ms, long now) {
        plots.get(worker).crash(now, ms);
        for (StubInstance being : beings.values()) {
            if (being.worker.equals(worker)) {
                end(being, now, true);
            }
        }
    }

    /** One host crashes. */
    public void crashHost(String id, long now) {
        end(beings.get(id), now, true);
    }

    /** It would take connections now. */
    public boolean up(String id, long now) {
        StubInstance being = beings.get(id);
        return being != null && being.up(now);
    }

    /** Where it runs or boots; null: it has ended, or there never was one. */
    public String where(String id, long now) {
        StubInstance being = beings.get(id);
        return being != null && being.there(now) ? being.worker : null;
    }

    /** The ids of the hosts of a service that take memory now. */
    public List<String> there(String service, long now) {
        List<String> ids = new ArrayList<>();
        for (StubInstance being : beings.values()) {
            if (being.service.equals(service) && being.there(now)) {
                ids.add(being.id);
            }
        }
        return ids;
    }

    /** The host's address; null: none such. */
    public String address(String id) {
        StubInstance being = beings.get(id);
        return being == null ? null : being.address;
    }

    /** Hosts that were started so far. */
    public int starts() {
        return starts;
    }

    /** Starts and stops refused for the rate so far. */
    public int refusals() {
        return refusals;
    }

    private StubInstance make(String service, ServiceKind kind, StubWorker plot, long now) {
        double boot = kind.bootMs();
        if (kind.spread() > 0) {
            double sigma = kind.spread();
            boot *= Math.min(LONGEST_BOOT, Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
        }
        forget(now);
        StubInstance being = new StubInstance(
                "i-" + Integer.toHexString(0x1000 + made),
                service,
                lots.next(now),
                plot,
                kind.memoryMb(),
                now,
                now + (long) boot);
        made++;
        starts++;
        beings.put(being.id, being);
        return being;
    }

    private void end(StubInstance being, long now, boolean crash) {
        if (being.there(now)) {
            if (being.drainAt == StubInstance.NEVER) {
                lots.ended(being);
            }
            being.end(now, crash);
        }
    }

    private int free(StubWorker plot, long at) {
        int free = plot.memoryMb;
        for (StubInstance being : beings.values()) {
            if (being.worker.equals(plot.name) && being.there(at)) {
                free -= being.memoryMb;
            }
        }
        return free;
    }

    private void forget(long now) {
        for (Iterator<StubInstance> each = beings.values().iterator(); each.hasNext(); ) {
            StubInstance being = each.next();
            if (being.endAt == StubInstance.NEVER || now - being.endAt < FORGET) {
                return;
            }
            each.remove();
            nonces.values().remove(being.id);
        }
    }
}
