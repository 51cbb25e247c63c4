package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The part of a member that grants terms and keeps them, and knows whose lease runs. */
final class LeaseVoter {
    private static final int RETRY_MS = 250;
    private static final byte FORM = 2;
    /** The form before, which did not tell in which view the term was held. */
    private static final byte FORM_BEFORE = 1;

    private final String key;
    private final ElectionActions out;
    private final LeaseTimings spans;
    private long granted;
    private long grantedTo;
    /** Number of the last view in which the holder of that term has renewed it here; 0 where it has not. */
    private long heldIn;
    /** What is known of it was read from the disk, and no lease has been agreed to since. */
    private boolean reborn;

    private LeaseHolder holder;
    private long takenUntil;
    private long named;
    private long ticket;
    private boolean flying;
    private long retryAt = Long.MIN_VALUE / 2;
    private boolean dirty;
    private List<Runnable> then = new ArrayList<>();
    private List<Runnable> flyingThen = new ArrayList<>();

    LeaseVoter(String duty, byte[] kept, ElectionActions out, LeaseTimings spans, long now) {
        this.key = key(duty);
        this.out = out;
        this.spans = spans;
        takenUntil = now;
        if (kept == null) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(kept);
        byte form = in.get();
        if (form != FORM && form != FORM_BEFORE) {
            throw new ElectionException(
                    "election.form", "kept in form " + kept[0] + ", this program reads form " + FORM);
        }
        granted = in.getLong();
        grantedTo = in.getLong();
        heldIn = form == FORM ? in.getLong() : 0;
        reborn = true;
        // whose lease this member agreed to before it died isn't kept: it is held to run
        takenUntil = now + spans.vacantMs();
    }

    static String key(String duty) {
        return "vow." + duty;
    }

    long granted() {
        return granted;
    }

    /** Whose lease runs, or null. */
    LeaseHolder holder(long now) {
        return now < takenUntil ? holder : null;
    }

    /** Milliseconds until it is vacant as far as known here; 0 when it is. */
    int remaining(long now) {
        return (int) Math.max(0, takenUntil - now);
    }

    long vacantSince() {
        return takenUntil;
    }

    /** Life named by the last holder as the next, 0 when none. */
    long named() {
        return named;
    }

    /**
     * The last view in which this life held the duty before its process ended, as far as this disk knows; 0 for none.
     */
    long heldBefore(long life) {
        return reborn && grantedTo == life ? heldIn : 0;
    }

    /**
     * Whether this term would be granted to this life now. Who asks holds nothing any more: its own lease stands in
     * nobody's way.
     */
    boolean would(long term, long life, long now) {
        boolean free = now >= takenUntil
                || (holder != null && holder.member().life() == life)
                || (reborn && grantedTo == life);
        return free && (term > granted || (term == granted && grantedTo == life));
    }

    /** Grants; {@code then} runs once it is kept. */
    void grant(long term, Member to, long now, Runnable run) {
        keep(term, to.life());
        take(new LeaseHolder(term, to), now);
        then.add(run);
    }

    /** Agrees to a lease unless a higher term was granted. */
    boolean renew(long view, long term, Member from, long now, Runnable run) {
        if (term < granted || (term == granted && grantedTo != from.life())) {
            return false;
        }
        keep(term, from.life());
        dirty |= heldIn != view;
        heldIn = view;
        take(new LeaseHolder(term, from), now);
        then.add(run);
        return true;
    }

    private void keep(long term, long life) {
        if (term == granted && grantedTo == life) {
            return;
        }
        granted = term;
        grantedTo = life;
        heldIn = 0;
        dirty = true;
    }

    private void take(LeaseHolder who, long now) {
        holder = who;
        reborn = false;
        takenUntil = now + spans.vacantMs();
        named = 0;
    }

    /** The holder says that it has stopped. */
    boolean vacate(long term, long life, long next, long now) {
        if (holder == null || holder.term() != term || holder.member().life() != life || now >= takenUntil) {
            return false;
        }
        takenUntil = now;
        named = next;
        return true;
    }

    void flush(long now) {
        if (flying || now < retryAt) {
            return;
        }
        if (!dirty) {
            List<Runnable> runs = then;
            if (runs.isEmpty()) {
                return;
            }
            then = new ArrayList<>();
            runs.forEach(Runnable::run);
            return;
        }
        dirty = false;
        flying = true;
        flyingThen = then;
        then = new ArrayList<>();
        Map<String, byte[]> changes = new HashMap<>();
        changes.put(
                key,
                ByteBuffer.allocate(25)
                        .put(FORM)
                        .putLong(granted)
                        .putLong(grantedTo)
                        .putLong(heldIn)
                        .array());
        out.persist(++ticket, changes);
    }

    void synced(long which) {
        if (!flying || which != ticket) {
            return;
        }
        flying = false;
        List<Runnable> runs = flyingThen;
        flyingThen = new ArrayList<>();
        runs.forEach(Runnable::run);
    }

    void failed(long which, long now) {
        if (!flying || which != ticket) {
            return;
        }
        flying = false;
        dirty = true;
        flyingThen.addAll(then);
        then = flyingThen;
        flyingThen = new ArrayList<>();
        retryAt = now + RETRY_MS;
    }
}
