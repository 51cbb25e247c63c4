package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The granted slots of a service's instances. Rule LIMIT: an instance never has more than {@code max-concurrency} slots
 * that are granted and not released. A slot is freed by {@link SlotRelease}; is closed (not granted again) for a while
 * if the instance may still be working on the request; and is reclaimed when its edge left the membership (after at
 * most {@code edgeGoneGraceMs}) or {@code lostAfterMs} after the deadline of its request.
 */
final class InstanceSlots {
    private final AdmissionParameters.Limit limits;
    private final Map<String, Map<Long, Slot>> byEdge = new HashMap<>();
    private long nextEndMs = Long.MAX_VALUE;
    private int size;
    private int nestedCalls;
    private long lastReleasedAtMs = Long.MIN_VALUE / 2;

    InstanceSlots(AdmissionParameters.Limit limits) {
        this.limits = limits;
    }

    Slot find(String edge, long requestId) {
        Map<Long, Slot> slots = byEdge.get(edge);
        return slots == null ? null : slots.get(requestId);
    }

    /** Takes a slot of an instance for a request that has {@code remainingMs} ms left. */
    Slot take(SlotRequest request, PooledInstance instance, long remainingMs, long now) {
        return take(request.edge(), request.id(), request.nestedCall(), instance, remainingMs, now);
    }

    private Slot take(
            String edge, long request, boolean nestedCall, PooledInstance instance, long remainingMs, long now) {
        long requestEnd = now + remainingMs;
        Slot slot = new Slot(edge, request, nestedCall, instance, requestEnd, requestEnd + limits.lostAfterMs());
        byEdge.computeIfAbsent(edge, e -> new HashMap<>()).put(request, slot);
        instance.heldSlots++;
        nestedCalls += nestedCall ? 1 : 0;
        size++;
        nextEndMs = Math.min(nextEndMs, slot.endsAtMs);
        return slot;
    }

    /** An edge reports a slot that a previous home granted, or that counted as lost here. */
    void onReported(String edge, long requestId, PooledInstance instance, long remainingMs, long now) {
        Slot known = find(edge, requestId);
        if (known == null) {
            take(edge, requestId, false, instance, remainingMs, now);
        } else if (known.closed && known.instance == instance) {
            reopen(known, now + remainingMs);
        }
    }

    private void reopen(Slot slot, long requestEnd) {
        slot.closed = false;
        slot.lost = false;
        slot.endsAtMs = requestEnd + limits.lostAfterMs();
    }

    /**
     * An edge that counted as gone repeats a request whose slot is still closed: the slot is granted to it again. False
     * if the slot was released.
     */
    boolean reopenIfLost(Slot slot) {
        if (slot.closed && slot.lost) {
            reopen(slot, slot.requestEndMs);
        }
        return !slot.closed;
    }

    /** Frees a slot at once. */
    void free(Slot slot, long now) {
        Map<Long, Slot> slots = byEdge.get(slot.edge);
        if (slots != null && slots.remove(slot.requestId, slot)) {
            if (slots.isEmpty()) {
                byEdge.remove(slot.edge);
            }
            release(slot, now);
        }
    }

    /** Keeps a slot closed for {@code spanMs}, as the instance may still be at work; not beyond the slot's own end. */
    void close(Slot slot, long spanMs, long now) {
        slot.closed = true;
        slot.endsAtMs = Math.max(
                now + 1, Math.min(now + spanMs, Math.min(slot.endsAtMs, slot.requestEndMs + limits.lostAfterMs())));
        nextEndMs = Math.min(nextEndMs, slot.endsAtMs);
    }

    /**
     * An edge left the membership: its slots stay closed for a while, as the instances may still be working on its
     * requests.
     */
    void onEdgeGone(String edge, long now) {
        Map<Long, Slot> slots = byEdge.get(edge);
        if (slots != null) {
            for (Slot slot : slots.values()) {
                slot.lost |= !slot.closed;
                close(slot, Math.max(0, Math.min(limits.edgeGoneGraceMs(), slot.requestEndMs - now)), now);
            }
        }
    }

    /** Removes the slots of an instance that no longer exists. */
    void drop(PooledInstance instance) {
        for (Iterator<Map<Long, Slot>> edges = byEdge.values().iterator(); edges.hasNext(); ) {
            Map<Long, Slot> slots = edges.next();
            int before = slots.size();
            slots.values().removeIf(slot -> {
                nestedCalls -= slot.instance == instance && slot.nestedCall ? 1 : 0;
                return slot.instance == instance;
            });
            size -= before - slots.size();
            if (slots.isEmpty()) {
                edges.remove();
            }
        }
        instance.heldSlots = 0;
    }

    /** Frees the slots that have expired; true if there were any. */
    boolean expire(long now) {
        if (nextEndMs > now) {
            return false;
        }
        List<Slot> expired = new ArrayList<>();
        nextEndMs = Long.MAX_VALUE;
        for (Map<Long, Slot> slots : byEdge.values()) {
            for (Slot slot : slots.values()) {
                if (slot.endsAtMs <= now) {
                    expired.add(slot);
                } else {
                    nextEndMs = Math.min(nextEndMs, slot.endsAtMs);
                }
            }
        }
        for (Slot slot : expired) {
            free(slot, now);
        }
        return !expired.isEmpty();
    }

    long nextEndMs() {
        return nextEndMs;
    }

    int size() {
        return size;
    }

    /** Number of slots held by client requests; slots reported by edges count as such, as their kind is not known. */
    int clientSlots() {
        return size - nestedCalls;
    }

    /** Time of the last release, ms. */
    long lastReleasedAtMs() {
        return lastReleasedAtMs;
    }

    private void release(Slot slot, long now) {
        size--;
        nestedCalls -= slot.nestedCall ? 1 : 0;
        lastReleasedAtMs = now;
        if (--slot.instance.heldSlots == 0) {
            slot.instance.idleSinceMs = now;
        }
    }
}
