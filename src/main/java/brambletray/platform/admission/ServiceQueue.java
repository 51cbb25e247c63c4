package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.StartRefusal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * One seat: gives out the places at the hosts of one service to edges, and keeps as many hosts as its demand needs.
 * What happens comes in with its time; what is to be done goes out through {@link AdmissionActions}.
 */
final class ServiceQueue {
    /** ms after a lack of room in which no host is kept, or started, for nobody. */
    private static final int RECLAIM_MS = 10_000;

    /** Where the heap of {@link ServiceQueues} has it. */
    long scheduled = Long.MAX_VALUE;

    private final QueueContext context;
    private final InstanceSlots places;
    private final PendingStarts starts;
    private final InstancePool instances;
    private final Scaler scaler;
    private final SlotAllocator desk;
    private final QueueTakeover taking;
    private final ZoneSpread spread;
    private final ZoneServiceQueue zoneQueue;
    private final HeldSlotsRecovery holders;
    private String rootZone;
    private boolean withdrawn;
    private long noWarmUntil = Long.MIN_VALUE;

    ServiceQueue(
            QueueContext context,
            String rootZone,
            StartNonces nonces,
            SlotForecast forecast,
            Map<String, ServiceQueue> seatOf,
            long now) {
        this.context = context;
        this.rootZone = rootZone;
        AdmissionParameters laws = context.laws;
        places = new InstanceSlots(laws.limit());
        starts = new PendingStarts(laws.scale(), context.service(), context.zone, nonces);
        instances = new InstancePool(context, places, starts, new InstancePool.Index() {
            @Override
            public void added(String host) {
                seatOf.put(host, ServiceQueue.this);
            }

            @Override
            public void removed(String host) {
                seatOf.remove(host, ServiceQueue.this);
            }
        });
        NestedCallReserve room = new NestedCallReserve(laws.room());
        scaler = new Scaler(context, instances, starts, room, forecast, now);
        taking = new QueueTakeover(laws.taking(), context.service(), context.zone, now);
        holders = new HeldSlotsRecovery(context, instances, places, taking);
        desk = new SlotAllocator(context, instances, scaler, places, room, taking);
        spread = new ZoneSpread(laws.spread());
        zoneQueue = new ZoneServiceQueue(laws.spread());
    }

    String service() {
        return context.service();
    }

    String rootZone() {
        return rootZone;
    }

    void change(ServiceSpec changed, String root) {
        context.spec = changed;
        rootZone = root;
        withdrawn = false;
    }

    void expect(Collection<String> edges, long now) {
        taking.expect(edges);
        if (!edges.isEmpty()) {
            desk.takenOver(now);
        }
    }

    /** The service is no more: hosts end as they become empty, those in line are refused. */
    void withdraw(long now) {
        withdrawn = true;
        desk.refuseAll();
        tick(now);
    }

    /** Withdrawn, and nothing is left to end. */
    boolean over() {
        return withdrawn && instances.empty() && starts.open() == 0;
    }

    private boolean root() {
        return context.zone.equals(rootZone);
    }

    /**
     * Hosts kept whatever happens: one at the root where a cold start cannot be hidden, unless others lack its memory.
     */
    private int warm(long now) {
        return !withdrawn && root() && context.spec.slowToStart() && now >= noWarmUntil ? 1 : 0;
    }

    private boolean closing(long now) {
        return withdrawn || !root() && zoneQueue.closed(now);
    }

    /** An edge asks. The same ask again: the same answer. {@code stay}: to be served here whatever the demand. */
    void ask(SlotRequest ask, boolean stay, long now) {
        Slot known = places.find(ask.edge(), ask.id());
        if (known != null) {
            if (places.backFrom(known)) {
                context.out.grant(ask.edge(), new SlotGrant(ask.id(), known.post.id, known.post.address, false));
            }
            return;
        }
        if (desk.line().find(ask.edge(), ask.id()) != null) {
            return;
        }
        if (withdrawn) {
            context.refuse(ask, -1);
            return;
        }
        if (stay) {
            zoneQueue.serveAnyway();
        } else if (sentAway(ask, now)) {
            return;
        }
        desk.ask(ask, now);
        scale(now);
    }

    private boolean sentAway(SlotRequest ask, long now) {
        int work = scaler.demand.workMs(context.spec);
        int boot = starts.bootMs(context.spec);
        String to = ask.zone();
        if (root()) {
            if (to.equals(context.zone) || !spread.away(ask, context.spec, work, boot, now)) {
                return false;
            }
        } else {
            double pays = ZoneSpread.pays(context.laws.spread(), context.spec, work);
            if (!zoneQueue.away(instances.posts.anyUp(), scaler.demand.slowRate(now), pays, boot, now)) {
                return false;
            }
            to = rootZone;
            scale(now);
        }
        context.out.elsewhere(ask.edge(), new SlotRedirect(context.service(), ask.id(), to));
        return true;
    }

    void done(String edge, SlotRelease done, long now) {
        holders.done(edge, done.askId());
        if (desk.done(edge, done, now)) {
            after(now);
        }
    }

    /** A place at a host that is not known here (yet) has been given back. */
    void doneEarly(String edge, SlotRelease done) {
        holders.done(edge, done.askId());
    }

    void forget(String edge, long ask, long now) {
        holders.done(edge, ask);
        RequestQueue.Waiter waiter = desk.line().find(edge, ask);
        if (waiter != null) {
            desk.forget(waiter, now);
        }
        Slot place = places.find(edge, ask);
        if (place != null && !place.closed) {
            places.free(place, now);
            after(now);
        }
    }

    void edgeGone(String edge, long now) {
        desk.line().removeEdge(edge);
        places.gone(edge, now);
        taking.told(edge);
        after(now);
    }

    void held(HeldSlots held, long now) {
        holders.told(held, now);
        after(now);
    }

    void hosts(InstanceList hosts, long now) {
        if (hosts.hosts().isEmpty() && !taking.isListed()) {
            desk.takenFirst();
        }
        for (InstanceInfo host : hosts.hosts()) {
            instances.take(host, false, now);
        }
        holders.listed(now);
        after(now);
    }

    void born(InstanceStarted born, long now) {
        instances.take(born.host(), starts.born(born.nonce()), now);
        after(now);
    }

    boolean noRoom(StartRefusal answer, long now) {
        if (!starts.noRoom(answer.nonce(), answer.comeBackMs(), now)) {
            return false;
        }
        after(now);
        return true;
    }

    /** No worker has room: hosts that have been idle for so long end, and none is kept warm for a while. */
    void reclaim(int idleMs, long now) {
        noWarmUntil = now + RECLAIM_MS;
        if (desk.line().size() == 0) {
            scaler.reclaim(idleMs, now);
        }
    }

    void leaving(String id, long now) {
        if (instances.leaving(id, now)) {
            after(now);
        }
    }

    void gone(String id, long now) {
        if (instances.gone(id, now)) {
            after(now);
        }
    }

    void knocked(String id, boolean ok, long now) {
        instances.knocked(id, ok, desk.line().size(), now);
        after(now);
    }

    private void after(long now) {
        desk.pump(now);
        scale(now);
    }

    private void scale(long now) {
        if (withdrawn || taking.unlisted(now)) {
            return;
        }
        boolean wanted = desk.line().size() > 0
                || warm(now) > 0
                || instances.replacing(now)
                || !root() && zoneQueue.warming(now);
        scaler.scale(wanted ? 1 : 0, desk.pressing(now), now);
        scaler.relieve(desk.stalledCalls(now), desk.line().size(), now);
    }

    void tick(long now) {
        taking.tick(context.out, now);
        holders.tick(now);
        places.expire(now);
        starts.tick(desk.line().size(), context.out, now);
        instances.tick(now);
        after(now);
        if (!taking.unlisted(now)) {
            scaler.retire(warm(now), closing(now), now);
        }
    }

    long nextDue(long now) {
        long next = Math.min(taking.nextDue(now), Math.min(places.nextEnd(), starts.nextDue(now)));
        next = Math.min(next, Math.min(instances.nextDue(now), scaler.nextDue(warm(now), closing(now), now)));
        if (now < noWarmUntil) {
            next = Math.min(next, noWarmUntil);
        }
        return Math.min(next, desk.nextDue(now));
    }

    List<InstanceInfo> mine(long now) {
        List<InstanceInfo> mine = new ArrayList<>();
        for (PooledInstance post : instances.posts.all()) {
            mine.add(post.toHost(context.service(), context.zone, now));
        }
        return mine;
    }

    int waiting() {
        return desk.line().size();
    }

    int heldPlaces() {
        return places.size();
    }
}
