package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The first moments of a home. The hub is asked for the seat's hosts; asks wait until it answers ({@code hostsMs} at
 * most, then the seat behaves as one without hosts). The edges tell which places they hold; until all have, or
 * {@code heldMs} are over, only hosts born under this home are given out.
 */
final class QueueTakeover {
    private final AdmissionParameters.Taking law;
    private final String service;
    private final String seat;
    private final long since;
    private final Set<String> awaited = new HashSet<>();
    private boolean listed;
    private long nextClaim;

    QueueTakeover(AdmissionParameters.Taking law, String service, String seat, long now) {
        this.law = law;
        this.service = service;
        this.seat = seat;
        since = now;
        nextClaim = now;
    }

    void expect(Collection<String> edges) {
        awaited.addAll(edges);
    }

    void told(String edge) {
        awaited.remove(edge);
    }

    void listed() {
        listed = true;
    }

    boolean isListed() {
        return listed;
    }

    /** The hosts are not known yet. */
    boolean unlisted(long now) {
        return !listed && now - since < law.hostsMs();
    }

    /** Not all edges have told what they hold. */
    boolean blind(long now) {
        return !awaited.isEmpty() && now - since < law.heldMs();
    }

    /** ms until the seat can see. */
    int waitMs(long now) {
        int wait = unlisted(now) ? (int) (since + law.hostsMs() - now) : 0;
        return blind(now) ? Math.max(wait, (int) (since + law.heldMs() - now)) : wait;
    }

    void tick(AdmissionActions out, long now) {
        if (!listed && now >= nextClaim) {
            nextClaim = now + law.againMs();
            out.claim(new HomeClaim(service, seat));
        }
    }

    long nextDue(long now) {
        long next = listed ? Long.MAX_VALUE : nextClaim;
        if (unlisted(now)) {
            next = Math.min(next, since + law.hostsMs());
        }
        return blind(now) ? Math.min(next, since + law.heldMs()) : next;
    }
}
