package brambletray.tray.home;

import brambletray.tray.yard.Host;
import java.util.ArrayList;
import java.util.List;

/**
 * What edges tell a new home that they hold. Kept until the hub has listed the hosts; where it doesn't in time, the
 * hosts that edges hold places at are taken from them: rebuilt from those who told it first.
 */
final class Holders {
    private static final int EARLY_MOST = 256;

    private final Ward ward;
    private final Crew crew;
    private final Places places;
    private final Taking taking;
    private final List<Held> early = new ArrayList<>();

    Holders(Ward ward, Crew crew, Places places, Taking taking) {
        this.ward = ward;
        this.crew = crew;
        this.places = places;
        this.taking = taking;
    }

    void told(Held held, long now) {
        if (taking.unlisted(now) && early.size() < EARLY_MOST) {
            early.add(held);
        } else {
            mark(held, now);
        }
        taking.told(held.edge());
    }

    /** A place told early has been given back. */
    void done(String edge, long askId) {
        early.replaceAll(held -> held.edge().equals(edge) ? held.without(askId) : held);
    }

    /** The hub has listed the hosts. */
    void listed(long now) {
        taking.listed();
        markEarly(now);
    }

    void tick(long now) {
        if (!early.isEmpty() && !taking.unlisted(now)) {
            markEarly(now);
        }
    }

    private void markEarly(long now) {
        for (Held held : early) {
            mark(held, now);
        }
        early.clear();
    }

    private void mark(Held held, long now) {
        for (Grant grant : held.grants()) {
            if (!taking.isListed()) {
                crew.take(
                        new Host(
                                grant.host(),
                                ward.service(),
                                grant.address(),
                                ward.zone,
                                ward.zone,
                                "",
                                "",
                                Host.UP,
                                0),
                        false,
                        now);
            }
            Post post = crew.posts.find(grant.host());
            if (post != null) {
                places.told(held.edge(), grant.askId(), post, ward.laws.taking().requestMs(), now);
            }
        }
    }
}
