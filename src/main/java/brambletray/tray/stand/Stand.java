package brambletray.tray.stand;

import brambletray.tray.yard.Begun;
import brambletray.tray.yard.Listed;
import brambletray.tray.yard.Result;
import brambletray.tray.yard.Worker;
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
public final class Stand {
    /** ms after which a host that has ended is forgotten. */
    private static final long FORGET = 120_000;
    /** ms beyond {@code drain-ms} that a host goes on. */
    private static final long AFTER_DRAIN = 300;

    private static final double LONGEST_BOOT = 6;

    /** One page of hosts, or a refusal for the rate ({@code hosts} null). */
    public record Page(List<Listed> hosts, String next) {}

    private final Ground ground;
    private final Random random;
    private final Gate lists;
    private final Gate duties;
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Map<String, Plot> plots = new LinkedHashMap<>();
    private final Map<String, Being> beings = new LinkedHashMap<>();
    private final Map<String, String> nonces = new HashMap<>();
    private final Lots lots;
    private long fence;
    private int made;
    private int starts;
    private int refusals;

    /** {@code seed}: of the times that starts take. */
    public Stand(Ground ground, long seed, long now) {
        this(ground, seed, now, made -> "10.9." + made / 250 + '.' + (1 + made % 250) + ":8080");
    }

    /** {@code fresh}: the address for the next host by the number of those made before, where none is free again. */
    public Stand(Ground ground, long seed, long now, IntFunction<String> fresh) {
        this.ground = ground;
        this.random = new Random(seed);
        this.lots = new Lots(ground.holdMs(), fresh);
        this.lists = new Gate(ground.listsPerS(), now);
        this.duties = new Gate(ground.dutiesPerS(), now);
    }

    public void worker(String name, String zone, int memoryMb, long now) {
        plots.put(name, new Plot(name, zone, memoryMb, now));
    }

    /** A service as it is from now on; {@code kind} null: it is gone. */
    public void service(String name, Kind kind) {
        if (kind == null) {
            kinds.remove(name);
        } else {
            kinds.put(name, kind);
        }
    }

    /** {@code POST /brambletray/begin}. */
    public Begun begin(String service, String worker, String nonce, long term, long now) {
        if (!duties.pass(now)) {
            refusals++;
            return Begun.of(Result.BUSY);
        }
        if (term < fence) {
            return Begun.of(Result.FENCED);
        }
        fence = term;
        Kind kind = kinds.get(service);
        if (kind == null || worker == null || nonce == null || nonce.isEmpty() || nonce.length() > 64) {
            return Begun.of(Result.BAD);
        }
        Being known = beings.get(nonces.getOrDefault(service + ' ' + nonce, ""));
        if (known == null) {
            Plot plot = plots.get(worker);
            if (plot == null || plot.state(now) != Plot.State.OPERATIONAL || free(plot, now) < kind.memoryMb()) {
                return Begun.of(Result.REFUSED);
            }
            known = make(service, kind, plot, now);
            nonces.put(service + ' ' + nonce, known.id);
        }
        return new Begun(Result.OK, known.id, known.address);
    }

    /** {@code POST /brambletray/stop}. */
    public Result stop(String id, long term, long now) {
        if (!duties.pass(now)) {
            refusals++;
            return Result.BUSY;
        }
        if (term < fence) {
            return Result.FENCED;
        }
        fence = term;
        Being being = beings.get(id);
        if (being == null) {
            return Result.NO_SUCH;
        }
        end(being, now, false);
        return Result.OK;
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
        List<Listed> page = new ArrayList<>();
        boolean from = token == null;
        for (Being being : beings.values()) {
            from |= being.id.equals(token);
            if (!from || !being.listed(at, ground.shownMs())) {
                continue;
            }
            if (page.size() == ground.page()) {
                return new Page(page, being.id);
            }
            page.add(new Listed(being.id, being.service, being.address, being.zone, being.worker, being.drainAt <= at));
        }
        return new Page(page, null);
    }

    /** {@code GET /brambletray/workers}; null: refused for the rate. */
    public List<Worker> workers(long now) {
        if (!lists.pass(now)) {
            return null;
        }
        long at = now - ground.lagMs();
        List<Worker> shown = new ArrayList<>();
        for (Plot plot : plots.values()) {
            Plot.State state = plot.state(at);
            if (state != Plot.State.DOWN) {
                shown.add(
                        new Worker(plot.name, plot.zone, plot.memoryMb, free(plot, at), state == Plot.State.DRAINING));
            }
        }
        return shown;
    }

    /** The worker drains: its hosts are listed as draining, and end. */
    public void drain(String worker, long now) {
        plots.get(worker).turn(Plot.State.DRAINING, now);
        for (Being being : beings.values()) {
            if (being.worker.equals(worker)) {
                drainHost(being.id, now);
            }
        }
    }

    /** One host is listed as draining, and ends. */
    public void drainHost(String id, long now) {
        Being being = beings.get(id);
        if (being.there(now) && being.drainAt == Being.NEVER) {
            lots.ended(being);
            being.drain(now, now + ground.drainMs() + AFTER_DRAIN);
        }
    }

    /** The worker crashes, with all its hosts, and is back after so many ms. */
    public void crash(String worker, long ms, long now) {
        plots.get(worker).crash(now, ms);
        for (Being being : beings.values()) {
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
        Being being = beings.get(id);
        return being != null && being.up(now);
    }

    /** Where it runs or boots; null: it has ended, or there never was one. */
    public String where(String id, long now) {
        Being being = beings.get(id);
        return being != null && being.there(now) ? being.worker : null;
    }

    /** The ids of the hosts of a service that take memory now. */
    public List<String> there(String service, long now) {
        List<String> ids = new ArrayList<>();
        for (Being being : beings.values()) {
            if (being.service.equals(service) && being.there(now)) {
                ids.add(being.id);
            }
        }
        return ids;
    }

    /** The host's address; null: none such. */
    public String address(String id) {
        Being being = beings.get(id);
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

    private Being make(String service, Kind kind, Plot plot, long now) {
        double boot = kind.bootMs();
        if (kind.spread() > 0) {
            double sigma = kind.spread();
            boot *= Math.min(LONGEST_BOOT, Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
        }
        forget(now);
        Being being = new Being(
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

    private void end(Being being, long now, boolean crash) {
        if (being.there(now)) {
            if (being.drainAt == Being.NEVER) {
                lots.ended(being);
            }
            being.end(now, crash);
        }
    }

    private int free(Plot plot, long at) {
        int free = plot.memoryMb;
        for (Being being : beings.values()) {
            if (being.worker.equals(plot.name) && being.there(at)) {
                free -= being.memoryMb;
            }
        }
        return free;
    }

    private void forget(long now) {
        for (Iterator<Being> each = beings.values().iterator(); each.hasNext(); ) {
            Being being = each.next();
            if (being.endAt == Being.NEVER || now - being.endAt < FORGET) {
                return;
            }
            each.remove();
            nonces.values().remove(being.id);
        }
    }
}
