package brambletray.tray.home;

import brambletray.tray.yard.Born;
import brambletray.tray.yard.Host;
import brambletray.tray.yard.Hosts;
import brambletray.tray.yard.NoRoom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * One seat: gives out the places at the hosts of one service to edges, and keeps as many hosts as its demand needs.
 * What happens comes in with its time; what is to be done goes out through {@link Out}.
 */
final class Seat {
    /** ms after a lack of room in which no host is kept, or started, for nobody. */
    private static final int RECLAIM_MS = 10_000;

    /** Where the heap of {@link Seats} has it. */
    long scheduled = Long.MAX_VALUE;

    private final Ward ward;
    private final Places places;
    private final Starts starts;
    private final Crew crew;
    private final Scaler scaler;
    private final Desk desk;
    private final Taking taking;
    private final Spread spread;
    private final Annex annex;
    private final Holders holders;
    private String rootZone;
    private boolean withdrawn;
    private long noWarmUntil = Long.MIN_VALUE;

    Seat(Ward ward, String rootZone, Nonces nonces, Forecast forecast, Map<String, Seat> seatOf, long now) {
        this.ward = ward;
        this.rootZone = rootZone;
        Laws laws = ward.laws;
        places = new Places(laws.limit());
        starts = new Starts(laws.scale(), ward.service(), ward.zone, nonces);
        crew = new Crew(ward, places, starts, new Crew.Index() {
            @Override
            public void added(String host) {
                seatOf.put(host, Seat.this);
            }

            @Override
            public void removed(String host) {
                seatOf.remove(host, Seat.this);
            }
        });
        Room room = new Room(laws.room());
        scaler = new Scaler(ward, crew, starts, room, forecast, now);
        taking = new Taking(laws.taking(), ward.service(), ward.zone, now);
        holders = new Holders(ward, crew, places, taking);
        desk = new Desk(ward, crew, scaler, places, room, taking);
        spread = new Spread(laws.spread());
        annex = new Annex(laws.spread());
    }

    String service() {
        return ward.service();
    }

    String rootZone() {
        return rootZone;
    }

    void change(Spec changed, String root) {
        ward.spec = changed;
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
        return withdrawn && crew.empty() && starts.open() == 0;
    }

    private boolean root() {
        return ward.zone.equals(rootZone);
    }

    /** Hosts kept whatever happens: one at the root where a cold start cannot be hidden, unless others lack its memory. */
    private int warm(long now) {
        return !withdrawn && root() && ward.spec.slowToStart() && now >= noWarmUntil ? 1 : 0;
    }

    private boolean closing(long now) {
        return withdrawn || !root() && annex.closed(now);
    }

    /** An edge asks. The same ask again: the same answer. {@code stay}: to be served here whatever the demand. */
    void ask(Ask ask, boolean stay, long now) {
        Place known = places.find(ask.edge(), ask.id());
        if (known != null) {
            if (places.backFrom(known)) {
                ward.out.grant(ask.edge(), new Grant(ask.id(), known.post.id, known.post.address, false));
            }
            return;
        }
        if (desk.line().find(ask.edge(), ask.id()) != null) {
            return;
        }
        if (withdrawn) {
            ward.refuse(ask, -1);
            return;
        }
        if (stay) {
            annex.serveAnyway();
        } else if (sentAway(ask, now)) {
            return;
        }
        desk.ask(ask, now);
        scale(now);
    }

    private boolean sentAway(Ask ask, long now) {
        int work = scaler.demand.workMs(ward.spec);
        int boot = starts.bootMs(ward.spec);
        String to = ask.zone();
        if (root()) {
            if (to.equals(ward.zone) || !spread.away(ask, ward.spec, work, boot, now)) {
                return false;
            }
        } else {
            double pays = Spread.pays(ward.laws.spread(), ward.spec, work);
            if (!annex.away(crew.posts.anyUp(), scaler.demand.slowRate(now), pays, boot, now)) {
                return false;
            }
            to = rootZone;
            scale(now);
        }
        ward.out.elsewhere(ask.edge(), new Elsewhere(ward.service(), ask.id(), to));
        return true;
    }

    void done(String edge, Done done, long now) {
        holders.done(edge, done.askId());
        if (desk.done(edge, done, now)) {
            after(now);
        }
    }

    /** A place at a host that is not known here (yet) has been given back. */
    void doneEarly(String edge, Done done) {
        holders.done(edge, done.askId());
    }

    void forget(String edge, long ask, long now) {
        holders.done(edge, ask);
        Line.Waiter waiter = desk.line().find(edge, ask);
        if (waiter != null) {
            desk.forget(waiter, now);
        }
        Place place = places.find(edge, ask);
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

    void held(Held held, long now) {
        holders.told(held, now);
        after(now);
    }

    void hosts(Hosts hosts, long now) {
        if (hosts.hosts().isEmpty() && !taking.isListed()) {
            desk.takenFirst();
        }
        for (Host host : hosts.hosts()) {
            crew.take(host, false, now);
        }
        holders.listed(now);
        after(now);
    }

    void born(Born born, long now) {
        crew.take(born.host(), starts.born(born.nonce()), now);
        after(now);
    }

    boolean noRoom(NoRoom answer, long now) {
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
        if (crew.leaving(id, now)) {
            after(now);
        }
    }

    void gone(String id, long now) {
        if (crew.gone(id, now)) {
            after(now);
        }
    }

    void knocked(String id, boolean ok, long now) {
        crew.knocked(id, ok, desk.line().size(), now);
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
        boolean wanted =
                desk.line().size() > 0 || warm(now) > 0 || crew.replacing(now) || !root() && annex.warming(now);
        scaler.scale(wanted ? 1 : 0, desk.pressing(now), now);
        scaler.relieve(desk.stalledCalls(now), desk.line().size(), now);
    }

    void tick(long now) {
        taking.tick(ward.out, now);
        holders.tick(now);
        places.expire(now);
        starts.tick(desk.line().size(), ward.out, now);
        crew.tick(now);
        after(now);
        if (!taking.unlisted(now)) {
            scaler.retire(warm(now), closing(now), now);
        }
    }

    long nextDue(long now) {
        long next = Math.min(taking.nextDue(now), Math.min(places.nextEnd(), starts.nextDue(now)));
        next = Math.min(next, Math.min(crew.nextDue(now), scaler.nextDue(warm(now), closing(now), now)));
        if (now < noWarmUntil) {
            next = Math.min(next, noWarmUntil);
        }
        return Math.min(next, desk.nextDue(now));
    }

    List<Host> mine(long now) {
        List<Host> mine = new ArrayList<>();
        for (Post post : crew.posts.all()) {
            mine.add(post.toHost(ward.service(), ward.zone, now));
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
