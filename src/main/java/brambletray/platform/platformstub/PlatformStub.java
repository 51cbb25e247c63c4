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
 * A model of the platform as its protocol describes it. Every method takes the time, ms, which never goes back;
 * network delays, lost responses and silence are added by the caller.
 */
public final class PlatformStub {
    /** ms after which a host that has ended is forgotten. */
    private static final long FORGET_MS = 120_000;
    /** ms beyond {@code drain-ms} that a host goes on. */
    private static final long AFTER_DRAIN = 300;

    private static final double MAX_BOOT_MS = 6;

    /** One page of hosts, or a refusal for the rate ({@code hosts} null). */
    public record Page(List<ListedInstance> hosts, String next) {}

    private final PlatformParameters parameters;
    private final Random random;
    private final CallRateLimiter lists;
    private final CallRateLimiter startsAndStops;
    private final Map<String, ServiceKind> services = new HashMap<>();
    private final Map<String, StubWorker> workers = new LinkedHashMap<>();
    private final Map<String, StubInstance> instances = new LinkedHashMap<>();
    private final Map<String, String> nonces = new HashMap<>();
    private final AddressPool addresses;
    private long fencingToken;
    private int instanceCount;
    private int starts;
    private int refusals;

    /** {@code seed}: of the times that starts take. */
    public PlatformStub(PlatformParameters parameters, long seed, long now) {
        this(parameters, seed, now, made -> "10.9." + made / 250 + '.' + (1 + made % 250) + ":8080");
    }

    /** {@code fresh}: the address for the next host by the number of those made before, where none is free again. */
    public PlatformStub(PlatformParameters parameters, long seed, long now, IntFunction<String> fresh) {
        this.parameters = parameters;
        this.random = new Random(seed);
        this.addresses = new AddressPool(parameters.addressHoldMs(), fresh);
        this.lists = new CallRateLimiter(parameters.listsPerS(), now);
        this.startsAndStops = new CallRateLimiter(parameters.startsAndStopsPerS(), now);
    }

    /** Adds a worker of {@code memoryMb} MB. */
    public void worker(String name, String zone, int memoryMb, long now) {
        workers.put(name, new StubWorker(name, zone, memoryMb, now));
    }

    /** A service as it is from now on; {@code serviceKind} null: it is gone. */
    public void service(String name, ServiceKind serviceKind) {
        if (serviceKind == null) {
            services.remove(name);
        } else {
            services.put(name, serviceKind);
        }
    }

    /** {@code POST /brambletray/begin}. */
    public StartResponse startInstance(String service, String worker, String nonce, long term, long now) {
        if (!startsAndStops.tryAcquire(now)) {
            refusals++;
            return StartResponse.of(CallResult.BUSY);
        }
        if (term < fencingToken) {
            return StartResponse.of(CallResult.FENCED);
        }
        fencingToken = term;
        ServiceKind serviceKind = services.get(service);
        if (serviceKind == null || worker == null || nonce == null || nonce.isEmpty() || nonce.length() > 64) {
            return StartResponse.of(CallResult.MALFORMED);
        }
        StubInstance known = instances.get(nonces.getOrDefault(service + ' ' + nonce, ""));
        if (known == null) {
            StubWorker target = workers.get(worker);
            if (target == null
                    || target.state(now) != StubWorker.State.OPERATIONAL
                    || free(target, now) < serviceKind.memoryMb()) {
                return StartResponse.of(CallResult.REJECTED);
            }
            known = make(service, serviceKind, target, now);
            nonces.put(service + ' ' + nonce, known.id);
        }
        return new StartResponse(CallResult.OK, known.id, known.address);
    }

    /** {@code POST /brambletray/stop}. */
    public CallResult stopInstance(String id, long term, long now) {
        if (!startsAndStops.tryAcquire(now)) {
            refusals++;
            return CallResult.BUSY;
        }
        if (term < fencingToken) {
            return CallResult.FENCED;
        }
        fencingToken = term;
        StubInstance instance = instances.get(id);
        if (instance == null) {
            return CallResult.NO_SUCH;
        }
        end(instance, now, false);
        return CallResult.OK;
    }

    /**
     * {@code GET /instances}; {@code token} null: the first page. A page may start anew where hosts have ended
     * meanwhile.
     */
    public Page list(String token, long now) {
        if (!lists.tryAcquire(now)) {
            return new Page(null, null);
        }
        long at = now - parameters.lagMs();
        List<ListedInstance> page = new ArrayList<>();
        boolean from = token == null;
        for (StubInstance instance : instances.values()) {
            from |= instance.id.equals(token);
            if (!from || !instance.isListed(at, parameters.crashedShownMs())) {
                continue;
            }
            if (page.size() == parameters.page()) {
                return new Page(page, instance.id);
            }
            page.add(new ListedInstance(
                    instance.id,
                    instance.service,
                    instance.address,
                    instance.zone,
                    instance.worker,
                    instance.drainAtMs <= at));
        }
        return new Page(page, null);
    }

    /** {@code GET /brambletray/workers}; null: refused for the rate. */
    public List<WorkerInfo> workers(long now) {
        if (!lists.tryAcquire(now)) {
            return null;
        }
        long at = now - parameters.lagMs();
        List<WorkerInfo> shown = new ArrayList<>();
        for (StubWorker worker : workers.values()) {
            StubWorker.State state = worker.state(at);
            if (state != StubWorker.State.DOWN) {
                shown.add(new WorkerInfo(
                        worker.name,
                        worker.zone,
                        worker.memoryMb,
                        free(worker, at),
                        state == StubWorker.State.DRAINING));
            }
        }
        return shown;
    }

    /** The worker drains: its hosts are listed as draining, and end. */
    public void drain(String worker, long now) {
        workers.get(worker).changeState(StubWorker.State.DRAINING, now);
        for (StubInstance instance : instances.values()) {
            if (instance.worker.equals(worker)) {
                drainHost(instance.id, now);
            }
        }
    }

    /** One host is listed as draining, and ends. */
    public void drainHost(String id, long now) {
        StubInstance instance = instances.get(id);
        if (instance.occupiesMemory(now) && instance.drainAtMs == StubInstance.NEVER) {
            addresses.ended(instance);
            instance.drain(now, now + parameters.drainMs() + AFTER_DRAIN);
        }
    }

    /** The worker crashes, with all its hosts, and is back after so many ms. */
    public void crash(String worker, long ms, long now) {
        workers.get(worker).crash(now, ms);
        for (StubInstance instance : instances.values()) {
            if (instance.worker.equals(worker)) {
                end(instance, now, true);
            }
        }
    }

    /** One host crashes. */
    public void crashHost(String id, long now) {
        end(instances.get(id), now, true);
    }

    /** It would take connections now. */
    public boolean up(String id, long now) {
        StubInstance instance = instances.get(id);
        return instance != null && instance.acceptsConnections(now);
    }

    /** Where it runs or boots; null: it has ended, or there never was one. */
    public String workerOf(String id, long now) {
        StubInstance instance = instances.get(id);
        return instance != null && instance.occupiesMemory(now) ? instance.worker : null;
    }

    /** The ids of the hosts of a service that take memory now. */
    public List<String> occupying(String service, long now) {
        List<String> ids = new ArrayList<>();
        for (StubInstance instance : instances.values()) {
            if (instance.service.equals(service) && instance.occupiesMemory(now)) {
                ids.add(instance.id);
            }
        }
        return ids;
    }

    /** The host's address; null: none such. */
    public String address(String id) {
        StubInstance instance = instances.get(id);
        return instance == null ? null : instance.address;
    }

    /** Hosts that were started so far. */
    public int starts() {
        return starts;
    }

    /** Starts and stops refused for the rate so far. */
    public int refusals() {
        return refusals;
    }

    private StubInstance make(String service, ServiceKind serviceKind, StubWorker worker, long now) {
        double boot = serviceKind.bootMs();
        if (serviceKind.spread() > 0) {
            double sigma = serviceKind.spread();
            boot *= Math.min(MAX_BOOT_MS, Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
        }
        forget(now);
        StubInstance instance = new StubInstance(
                "i-" + Integer.toHexString(0x1000 + instanceCount),
                service,
                addresses.next(now),
                worker,
                serviceKind.memoryMb(),
                now,
                now + (long) boot);
        instanceCount++;
        starts++;
        instances.put(instance.id, instance);
        return instance;
    }

    private void end(StubInstance instance, long now, boolean crash) {
        if (instance.occupiesMemory(now)) {
            if (instance.drainAtMs == StubInstance.NEVER) {
                addresses.ended(instance);
            }
            instance.end(now, crash);
        }
    }

    private int free(StubWorker worker, long at) {
        int free = worker.memoryMb;
        for (StubInstance instance : instances.values()) {
            if (instance.worker.equals(worker.name) && instance.occupiesMemory(at)) {
                free -= instance.memoryMb;
            }
        }
        return free;
    }

    private void forget(long now) {
        for (Iterator<StubInstance> each = instances.values().iterator(); each.hasNext(); ) {
            StubInstance instance = each.next();
            if (instance.endAtMs == StubInstance.NEVER || now - instance.endAtMs < FORGET_MS) {
                return;
            }
            each.remove();
            nonces.values().remove(instance.id);
        }
    }
}
