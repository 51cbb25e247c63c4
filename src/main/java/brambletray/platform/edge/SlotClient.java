package brambletray.platform.edge;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.proxy.SlotBroker;
import brambletray.platform.proxy.SlotRequester;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Where an edge's requests get their places: the home of the service, which is this edge or another. Asks that a home
 * has not answered when it goes are asked anew at the next one; places held there are told to it. For the loop only.
 *
 * <p>An ask is idempotent: the same one again, on a new link, gets the same place. A grant counts once, and only from
 * the home that is asked now (fencing): any other is given back at once as {@link AttemptOutcome#UNUSED}, lest its
 * place stay
 * taken until its request's time is over.
 */
final class SlotClient implements SlotBroker {
    /** Times that one ask is sent on by seats that are not open, before the root is told to serve it. */
    private static final int HOPS = 2;

    private static final int HOPS_MOST = 5;
    /** ms told where no home can be reached. */
    private static final int COME_BACK = 800;
    /** Asks that wait. */
    private static final int MOST = 8_192;

    /** How it reaches homes. */
    interface Ways {
        String self();

        /** An ask for the seat of this edge; {@code stay}: not to be sent on again. */
        void here(SlotRequest ask, boolean stay);

        void doneHere(SlotRelease done);

        void forgetHere(SlotRequestCancel forget);

        boolean say(String edge, Object frame);

        /** It cannot be reached now. */
        boolean shunned(String edge);

        String zone();
    }

    private static final class Pending {
        private final SlotRequest ask;
        private final SlotRequester taker;
        private String zone;
        private String home;
        private int hops;

        Pending(SlotRequest ask, SlotRequester taker) {
            this.ask = ask;
            this.taker = taker;
        }
    }

    private static final class Place {
        private final String service;
        private final SlotGrant grant;
        private final String zone;
        private String home;

        Place(String service, SlotGrant grant, String zone, String home) {
            this.service = service;
            this.grant = grant;
            this.zone = zone;
            this.home = home;
        }
    }

    private final Ways ways;
    private final Spots spots;
    private final LongSupplier clock;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Long, Place> places = new HashMap<>();
    /** Services whose seat in a zone other than the root's serves us. */
    private final Map<String, String> seats = new HashMap<>();

    private HomeAssignment homes = new HomeAssignment(Roster.NONE);

    SlotClient(Ways ways, Spots spots, LongSupplier clock) {
        this.ways = ways;
        this.spots = spots;
        this.clock = clock;
    }

    @Override
    public void ask(SlotRequest ask, SlotRequester taker) {
        if (pending.size() >= MOST) {
            taker.refused(COME_BACK);
            return;
        }
        Pending one = new Pending(ask, taker);
        one.zone = seats.get(ask.service());
        pending.put(ask.id(), one);
        route(one);
    }

    private void route(Pending one) {
        String service = one.ask.service();
        if (one.zone == null) {
            one.zone = homes.rootZone(service);
        }
        Peer home = one.zone == null ? null : home(service, one.zone);
        if (home == null) {
            pending.remove(one.ask.id());
            one.taker.refused(COME_BACK);
            return;
        }
        one.home = home.name();
        boolean stay = one.hops >= HOPS;
        if (one.home.equals(ways.self())) {
            ways.here(one.ask, stay);
        } else {
            ways.say(one.home, one.ask);
        }
    }

    /** The home, or the next best where it cannot be reached. */
    private Peer home(String service, String zone) {
        Peer home = homes.homeOf(service, zone);
        if (home == null || home.name().equals(ways.self()) || !ways.shunned(home.name())) {
            return home;
        }
        for (Peer other : homes.homes(service, zone, 4)) {
            if (other.name().equals(ways.self()) || !ways.shunned(other.name())) {
                return other;
            }
        }
        return home;
    }

    @Override
    public void done(SlotGrant grant, AttemptOutcome fate, int tookMs) {
        Place place = places.remove(grant.askId());
        if (place != null) {
            give(place.home, new SlotRelease(grant.askId(), grant.host(), fate, tookMs));
        }
    }

    @Override
    public void forget(long askId) {
        Pending one = pending.remove(askId);
        Place place = places.remove(askId);
        String service = one != null ? one.ask.service() : place != null ? place.service : null;
        String home = one != null ? one.home : place != null ? place.home : null;
        if (home != null) {
            if (home.equals(ways.self())) {
                ways.forgetHere(new SlotRequestCancel(askId, service));
            } else {
                ways.say(home, new SlotRequestCancel(askId, service));
            }
        }
    }

    /** A home's answer. */
    void granted(String home, SlotGrant grant) {
        Pending one = pending.get(grant.askId());
        if (one == null || !home.equals(one.home)) {
            surplus(home, grant);
            return;
        }
        pending.remove(grant.askId());
        places.put(grant.askId(), new Place(one.ask.service(), grant, one.zone, home));
        spots.host(grant.address());
        one.taker.granted(grant);
    }

    private void surplus(String home, SlotGrant grant) {
        Place place = places.get(grant.askId());
        boolean ours = place != null && home.equals(place.home);
        if (ours && place.grant.host().equals(grant.host())) {
            return;
        }
        give(home, new SlotRelease(grant.askId(), grant.host(), AttemptOutcome.UNUSED, 0));
        if (ours) {
            // The home knows one place an ask: it has taken this one for ours, and is to know that which is.
            tell(home, held(home, place.service));
        }
    }

    private void give(String home, SlotRelease done) {
        if (home.equals(ways.self())) {
            ways.doneHere(done);
        } else {
            ways.say(home, done);
        }
    }

    private HeldSlots held(String home, String service) {
        List<SlotGrant> grants = new ArrayList<>();
        for (Place place : places.values()) {
            if (home.equals(place.home) && service.equals(place.service)) {
                grants.add(place.grant);
            }
        }
        return new HeldSlots(ways.self(), service, grants);
    }

    void refused(String home, SlotRefusal refuse) {
        Pending one = pending.get(refuse.askId());
        if (one != null && home.equals(one.home)) {
            pending.remove(refuse.askId());
            one.taker.refused(refuse.comeBackMs());
        }
    }

    /** A seat is not open: the ask goes on to another zone's, and so do the next ones. */
    void elsewhere(String home, SlotRedirect elsewhere) {
        if (elsewhere.zone().equals(homes.rootZone(elsewhere.service()))) {
            seats.remove(elsewhere.service());
        } else if (elsewhere.zone().equals(ways.zone())) {
            seats.put(elsewhere.service(), elsewhere.zone());
        }
        Pending one = pending.get(elsewhere.askId());
        if (one != null && home.equals(one.home)) {
            one.zone = elsewhere.zone();
            if (++one.hops > HOPS_MOST) {
                pending.remove(elsewhere.askId());
                one.taker.refused(COME_BACK);
            } else {
                route(one);
            }
        }
    }

    /** Another roster: homes that have changed are asked anew, and told what is held. */
    void roster(HomeAssignment next) {
        homes = next;
        Map<String, Map<String, List<SlotGrant>>> told = new HashMap<>();
        for (Place place : places.values()) {
            Peer home = homes.homeOf(place.service, place.zone);
            if (home != null && !home.name().equals(place.home)) {
                place.home = home.name();
                told.computeIfAbsent(home.name(), name -> new HashMap<>())
                        .computeIfAbsent(place.service, service -> new ArrayList<>())
                        .add(place.grant);
            }
        }
        told.forEach((home, services) ->
                services.forEach((service, grants) -> tell(home, new HeldSlots(ways.self(), service, grants))));
        reroute();
    }

    private void tell(String home, HeldSlots held) {
        if (home.equals(ways.self())) {
            spots.heldHere(held);
        } else {
            ways.say(home, held);
        }
    }

    /** Asks whose home is another now, or cannot be reached, go to the one that can. */
    void reroute() {
        for (Pending one : new ArrayList<>(pending.values())) {
            Peer home = one.zone == null ? null : home(one.ask.service(), one.zone);
            if (pending.get(one.ask.id()) == one
                    && (home == null || !home.name().equals(one.home))) {
                if (home == null) {
                    one.zone = null;
                }
                route(one);
            }
        }
    }

    /** A link to a home is up (anew): what was asked on the one before may be lost. */
    void again(String home) {
        for (Pending one : new ArrayList<>(pending.values())) {
            if (home.equals(one.home)) {
                // Not forgotten first: the grant may be on its way, and its place must not be free while we use it.
                ways.say(home, one.ask);
            }
        }
        Set<String> services = new HashSet<>();
        for (Place place : places.values()) {
            if (home.equals(place.home)) {
                services.add(place.service);
            }
        }
        for (String service : services) {
            ways.say(home, held(home, service));
        }
    }

    int waiting() {
        return pending.size();
    }

    int held() {
        return places.size();
    }

    long now() {
        return clock.getAsLong();
    }

    /** What else is to be known of places. */
    interface Spots {
        /** A host's address, which its own calls come from. */
        void host(String address);

        void heldHere(HeldSlots held);
    }
}
