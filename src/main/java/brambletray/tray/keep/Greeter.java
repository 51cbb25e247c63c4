package brambletray.tray.keep;

import brambletray.tray.ring.Hello;
import brambletray.tray.ring.Roster;
import brambletray.tray.ring.Welcome;
import brambletray.tray.speech.Link;
import brambletray.tray.view.Member;
import brambletray.tray.view.Standing;
import brambletray.tray.view.Status;
import brambletray.tray.vow.Holder;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The edges that have a link to this member, whether it holds the helm or not: each is told by a Welcome where the helm
 * is, and again when that, or where this member itself stands, has changed. So an edge that waits at a member in touch
 * learns of a new helm at once, and one that waits at a member that is cut off learns that it should go on. For the
 * loop only.
 */
final class Greeter {
    private static final long NEVER = Long.MIN_VALUE;

    private static final class Guest {
        private final String name;
        private Hello hello;
        /** The roster part left out, which the Welcome of a later Hello brings up to date. */
        private Welcome told;

        Guest(String name) {
            this.name = name;
        }
    }

    private final Supplier<Welcome> welcome;
    private final Map<Link, Guest> guests = new LinkedHashMap<>();
    private long noneSince = NEVER;

    /** {@code welcome}: what this member says at that moment. */
    Greeter(Supplier<Welcome> welcome) {
        this.welcome = welcome;
    }

    /**
     * What a member says to edges that stands like this. It names itself as the helm while its hub may act
     * ({@code hubTerm}, 0: it has none), another only while it is in touch itself: who is cut off may not know that the
     * other has been succeeded. {@code inner}: where edges reach a member.
     */
    static Welcome welcome(Status status, Holder holder, long hubTerm, Roster newest, Function<Member, String> inner) {
        boolean inTouch = status.standing() == Standing.MEMBER;
        boolean here = holder != null && holder.member().life() == status.me().life();
        boolean named = holder != null && (here ? hubTerm == holder.term() : inTouch);
        List<String> reached =
                status.inForce() ? status.members().stream().map(inner).toList() : List.of();
        return new Welcome(
                named ? inner.apply(holder.member()) : "",
                named ? holder.term() : 0,
                inTouch,
                status.inForce() ? status.number() : 0,
                reached,
                newest.term(),
                newest.number());
    }

    void came(String name, Link link) {
        guests.put(link, new Guest(name));
    }

    void gone(Link link) {
        guests.remove(link);
    }

    /** Answers an edge's Hello. */
    void hello(Link link, Hello hello) {
        Guest guest = guests.get(link);
        if (guest != null) {
            guest.hello = hello;
            say(link, guest, welcome.get());
        }
    }

    /** The helm is held here from now on: its hub hears who is on the line. */
    void hub(Hub hub, long now) {
        Welcome say = welcome.get();
        new LinkedHashMap<>(guests).forEach((link, guest) -> {
            if (guest.hello != null) {
                say(link, guest, say);
                hub.heard(guest.name, link, guest.hello, now);
            }
        });
    }

    /**
     * Every 50 ms or so; steady ms. That there is no helm any more is said once that has lasted for {@link Hub#DOUBT}.
     */
    void tick(long now) {
        if (guests.isEmpty()) {
            return;
        }
        Welcome say = welcome.get();
        Welcome key = key(say);
        if (!key.helmAddress().isEmpty()) {
            noneSince = NEVER;
        } else if (noneSince == NEVER) {
            noneSince = now;
        }
        boolean doubt = noneSince != NEVER && now - noneSince < Hub.DOUBT;
        guests.forEach((link, guest) -> {
            if (guest.told != null
                    && !guest.told.equals(key)
                    && !(doubt && !guest.told.helmAddress().isEmpty())) {
                say(link, guest, say);
            }
        });
    }

    private void say(Link link, Guest guest, Welcome say) {
        link.say(say);
        guest.told = key(say);
    }

    private static Welcome key(Welcome all) {
        return new Welcome(all.helmAddress(), all.term(), all.inTouch(), all.view(), all.members(), 0, 0);
    }
}
