package brambletray.platform.controlplane;

import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.transport.Link;
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
final class EdgeGreeter {
    private static final long NEVER = Long.MIN_VALUE;

    private static final class Guest {
        private final String name;
        private EdgeHello hello;
        /** The roster part left out, which the Welcome of a later Hello brings up to date. */
        private EdgeWelcome told;

        Guest(String name) {
            this.name = name;
        }
    }

    private final Supplier<EdgeWelcome> welcome;
    private final Map<Link, Guest> guests = new LinkedHashMap<>();
    private long noneSince = NEVER;

    /** {@code welcome}: what this member says at that moment. */
    EdgeGreeter(Supplier<EdgeWelcome> welcome) {
        this.welcome = welcome;
    }

    /**
     * What a member says to edges that stands like this. It names itself as the helm while its hub may act
     * ({@code hubTerm}, 0: it has none), another only while it is in touch itself: who is cut off may not know that the
     * other has been succeeded. {@code inner}: where edges reach a member.
     */
    static EdgeWelcome welcome(
            ReplicaStatus status, LeaseHolder holder, long hubTerm, Roster newest, Function<Member, String> inner) {
        boolean inTouch = status.role() == ReplicaRole.MEMBER;
        boolean here =
                holder != null && holder.member().incarnation() == status.self().incarnation();
        boolean named = holder != null && (here ? hubTerm == holder.term() : inTouch);
        List<String> reached =
                status.active() ? status.members().stream().map(inner).toList() : List.of();
        return new EdgeWelcome(
                named ? inner.apply(holder.member()) : "",
                named ? holder.term() : 0,
                inTouch,
                status.active() ? status.viewNumber() : 0,
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
    void hello(Link link, EdgeHello hello) {
        Guest guest = guests.get(link);
        if (guest != null) {
            guest.hello = hello;
            say(link, guest, welcome.get());
        }
    }

    /** The helm is held here from now on: its hub hears who is on the line. */
    void hub(EdgeCoordinator hub, long now) {
        EdgeWelcome say = welcome.get();
        new LinkedHashMap<>(guests).forEach((link, guest) -> {
            if (guest.hello != null) {
                say(link, guest, say);
                hub.heard(guest.name, link, guest.hello, now);
            }
        });
    }

    /**
     * Every 50 ms or so; steady ms. That there is no helm any more is said once that has lasted for {@link
     * EdgeCoordinator#DOUBT}.
     */
    void tick(long now) {
        if (guests.isEmpty()) {
            return;
        }
        EdgeWelcome say = welcome.get();
        EdgeWelcome key = key(say);
        if (!key.helmAddress().isEmpty()) {
            noneSince = NEVER;
        } else if (noneSince == NEVER) {
            noneSince = now;
        }
        boolean doubt = noneSince != NEVER && now - noneSince < EdgeCoordinator.DOUBT;
        guests.forEach((link, guest) -> {
            if (guest.told != null
                    && !guest.told.equals(key)
                    && !(doubt && !guest.told.helmAddress().isEmpty())) {
                say(link, guest, say);
            }
        });
    }

    private void say(Link link, Guest guest, EdgeWelcome say) {
        link.say(say);
        guest.told = key(say);
    }

    private static EdgeWelcome key(EdgeWelcome all) {
        return new EdgeWelcome(all.helmAddress(), all.term(), all.inTouch(), all.view(), all.members(), 0, 0);
    }
}
