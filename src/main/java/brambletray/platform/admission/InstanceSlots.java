package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Rule LIMIT at a seat: a host never holds more than {@code max-concurrency} places granted and not given back. A place
 * comes back by {@link SlotRelease}; is kept closed for a span where the host may still be at work; is lost when its
 * edge is
 * gone (closed for at most {@code goneMs}) or {@code lostMs} after the end of its request's time.
 */
final class InstanceSlots {
    private final AdmissionParameters.Limit law;
    private final Map<String, Map<Long, Slot>> byEdge = new HashMap<>();
    private long nextEnd = Long.MAX_VALUE;
    private int size;
    private int calls;
    private long lastBack = Long.MIN_VALUE / 2;

    InstanceSlots(AdmissionParameters.Limit law) {
        this.law = law;
    }

    Slot find(String edge, long ask) {
        Map<Long, Slot> of = byEdge.get(edge);
        return of == null ? null : of.get(ask);
    }

    /** Takes a place at a host for a request that has {@code remainingMs} left. */
    Slot take(SlotRequest ask, PooledInstance post, long remainingMs, long now) {
        return take(ask.edge(), ask.id(), ask.inner(), post, remainingMs, now);
    }

    private Slot take(String edge, long ask, boolean call, PooledInstance post, long remainingMs, long now) {
        long requestEnd = now + remainingMs;
        Slot place = new Slot(edge, ask, call, post, requestEnd, requestEnd + law.lostMs());
        byEdge.computeIfAbsent(edge, e -> new HashMap<>()).put(ask, place);
        post.held++;
        calls += call ? 1 : 0;
        size++;
        nextEnd = Math.min(nextEnd, place.ends);
        return place;
    }

    /** An edge tells of a place given out before, or taken for lost. */
    void told(String edge, long ask, PooledInstance post, long remainingMs, long now) {
        Slot known = find(edge, ask);
        if (known == null) {
            take(edge, ask, false, post, remainingMs, now);
        } else if (known.closed && known.post == post) {
            reopen(known, now + remainingMs);
        }
    }

    private void reopen(Slot place, long requestEnd) {
        place.closed = false;
        place.lost = false;
        place.ends = requestEnd + law.lostMs();
    }

    /**
     * An edge that was taken for gone asks again: it has not had its place, which is still its own. False: it has given
     * it back.
     */
    boolean backFrom(Slot place) {
        if (place.closed && place.lost) {
            reopen(place, place.requestEnd);
        }
        return !place.closed;
    }

    /** Frees it at once. */
    void free(Slot place, long now) {
        Map<Long, Slot> of = byEdge.get(place.edge);
        if (of != null && of.remove(place.ask, place)) {
            if (of.isEmpty()) {
                byEdge.remove(place.edge);
            }
            release(place, now);
        }
    }

    /** Keeps it closed for {@code spanMs}, no longer than its request's time: the host may still be at work. */
    void close(Slot place, long spanMs, long now) {
        place.closed = true;
        place.ends = Math.max(now + 1, Math.min(now + spanMs, Math.min(place.ends, place.requestEnd + law.lostMs())));
        nextEnd = Math.min(nextEnd, place.ends);
    }

    /** An edge is gone: its places stay closed for a while, as the hosts may still be at work. */
    void gone(String edge, long now) {
        Map<Long, Slot> of = byEdge.get(edge);
        if (of != null) {
            for (Slot place : of.values()) {
                place.lost |= !place.closed;
                close(place, Math.max(0, Math.min(law.goneMs(), place.requestEnd - now)), now);
            }
        }
    }

    /** Forgets the places at a host that is no more. */
    void drop(PooledInstance post) {
        for (Iterator<Map<Long, Slot>> edges = byEdge.values().iterator(); edges.hasNext(); ) {
            Map<Long, Slot> of = edges.next();
            int before = of.size();
            of.values().removeIf(place -> {
                calls -= place.post == post && place.call ? 1 : 0;
                return place.post == post;
            });
            size -= before - of.size();
            if (of.isEmpty()) {
                edges.remove();
            }
        }
        post.held = 0;
    }

    /** Frees what has run out; true if anything did. */
    boolean expire(long now) {
        if (nextEnd > now) {
            return false;
        }
        List<Slot> over = new ArrayList<>();
        nextEnd = Long.MAX_VALUE;
        for (Map<Long, Slot> of : byEdge.values()) {
            for (Slot place : of.values()) {
                if (place.ends <= now) {
                    over.add(place);
                } else {
                    nextEnd = Math.min(nextEnd, place.ends);
                }
            }
        }
        for (Slot place : over) {
            free(place, now);
        }
        return !over.isEmpty();
    }

    long nextEnd() {
        return nextEnd;
    }

    int size() {
        return size;
    }

    /** Places held by requests of clients, those whose asks are not known included. */
    int ofClients() {
        return size - calls;
    }

    /** When a place came back last. */
    long lastBack() {
        return lastBack;
    }

    private void release(Slot place, long now) {
        size--;
        calls -= place.call ? 1 : 0;
        lastBack = now;
        if (--place.post.held == 0) {
            place.post.idleSince = now;
        }
    }
}
