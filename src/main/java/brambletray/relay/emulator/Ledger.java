package brambletray.relay.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The ground truth: what really took effect at the partners, and which rules the callers broke there. It
 * believes nothing that a relay says of itself. Times in ns.
 */
public class Ledger {
    /** A wait binds from this long after its answer was written. */
    private static final long WAIT_GRACE = 100_000_000;
    /** What the network may add to a time limit. */
    private static final long NETWORK_GRACE = 50_000_000;

    private static final int BREACHES_MOST = 1_000;

    /** The rules that can be seen to be broken from where the partners stand. */
    public enum Rule {
        EFFECT_TWICE,
        SENT_TO_DRAINING,
        PUSHED_OVER,
        WAIT_IGNORED
    }

    /** One breach; {@code at} ns. */
    public record Breach(Rule rule, long at, String caller, String endpoint, String message, String detail) {}

    private record Pair(String caller, String place) {}

    private record Told(Call call, long at, long until) {}

    private final long drainGrace;
    private final UnaryOperator<String> line;
    private final Predicate<String> mayRepeat;
    private final Set<String> voided = new HashSet<>();
    private final Map<String, Integer> effects = new HashMap<>();
    private final Map<String, Long> delivered = new HashMap<>();
    private final Map<Pair, Told> waits = new HashMap<>();
    private final Map<Pair, Long> drained = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long breachCount;
    private Witness witness = Witness.NOBODY;

    /**
     * {@code drainGrace}: how long after it was told a relay may still send to a draining endpoint, ns.
     * {@code line}: from a message's id to what must take effect once, where a client hands the same line in
     * under several ids.
     */
    public Ledger(long drainGrace, UnaryOperator<String> line) {
        this(drainGrace, line, message -> false);
    }

    /** As above; {@code mayRepeat}: messages that do no harm if they take effect again. */
    public Ledger(long drainGrace, UnaryOperator<String> line, Predicate<String> mayRepeat) {
        this.drainGrace = drainGrace;
        this.line = line;
        this.mayRepeat = mayRepeat;
    }

    /** Each message is a line of its own. */
    public Ledger(long drainGrace) {
        this(drainGrace, UnaryOperator.identity());
    }

    /** The client has left before the answer: what this id does from now on counts for nothing. */
    public void voided(String message) {
        voided.add(message);
    }

    /** Told of all that passes from now on. */
    public void witness(Witness told) {
        witness = told;
    }

    public Witness witness() {
        return witness;
    }

    void arrived(long now, Call call, String endpoint, String waitPlace) {
        witness.saw(now, call.message, "call from " + call.caller + " arrives at " + endpoint);
        Told told = waits.get(new Pair(call.caller, waitPlace));
        if (told != null && now > told.at() + WAIT_GRACE + NETWORK_GRACE && now < told.until()) {
            breach(new Breach(
                    Rule.WAIT_IGNORED,
                    now,
                    call.caller,
                    endpoint,
                    call.message,
                    "told " + (now - told.at()) / 1_000_000 + " ms before to wait "
                            + (told.until() - told.at()) / 1_000_000 + " ms"));
        }
        Long since = drained.get(new Pair(call.caller, endpoint));
        if (since != null && now > since + drainGrace + NETWORK_GRACE) {
            breach(new Breach(
                    Rule.SENT_TO_DRAINING,
                    now,
                    call.caller,
                    endpoint,
                    call.message,
                    "told " + (now - since) / 1_000_000 + " ms before"));
        }
    }

    void told(long now, Call call, String waitPlace, long wait) {
        Pair pair = new Pair(call.caller, waitPlace);
        Told old = waits.get(pair);
        long until = now + wait;
        witness.saw(now, call.message, "told to wait " + wait / 1_000_000 + " ms at " + waitPlace);
        waits.put(pair, old != null && old.until() > until ? old : new Told(call, now, until));
    }

    /**
     * The caller's connection ended so soon after a refusal that it may not have read it: the wait that the
     * refusal told binds nobody.
     */
    void unheard(long now, Call call, String waitPlace) {
        Pair pair = new Pair(call.caller, waitPlace);
        Told told = waits.get(pair);
        if (told != null && told.call() == call && now <= told.at() + WAIT_GRACE + NETWORK_GRACE) {
            waits.remove(pair);
        }
    }

    void effect(long now, Call call, String endpoint) {
        if (voided.contains(call.message)) {
            return;
        }
        witness.saw(now, call.message, "takes effect at " + endpoint);
        int times = effects.merge(line.apply(call.message), 1, Integer::sum);
        if (times > 1 && !mayRepeat.test(call.message)) {
            breach(new Breach(Rule.EFFECT_TWICE, now, call.caller, endpoint, call.message, "effect number " + times));
        }
    }

    void delivered(long now, String message) {
        witness.saw(now, message, "answered as delivered");
        delivered.putIfAbsent(message, now);
    }

    void fell(long now, String endpoint, Map<String, Integer> senders, Set<String> knew) {
        witness.saw(now, endpoint, "was pushed over; calls came from " + new TreeMap<>(senders));
        int all = 0;
        int fromKnowing = 0;
        for (Map.Entry<String, Integer> sender : new TreeMap<>(senders).entrySet()) {
            all += sender.getValue();
            fromKnowing += knew.contains(sender.getKey()) ? sender.getValue() : 0;
        }
        if (fromKnowing * 3 >= all * 2) {
            breach(new Breach(
                    Rule.PUSHED_OVER,
                    now,
                    String.join(",", new TreeMap<>(senders).keySet()),
                    endpoint,
                    "",
                    fromKnowing + " of " + all + " calls came from relays that had seen the outage"));
        }
    }

    private void breach(Breach breach) {
        breachCount++;
        if (breaches.size() < BREACHES_MOST) {
            breaches.add(breach);
        }
    }

    /** A relay has been told how an endpoint stands. */
    public void listed(long now, String caller, String endpoint, boolean ready) {
        witness.saw(now, endpoint, caller + " is told that it " + (ready ? "is ready" : "drains or is gone"));
        if (ready) {
            drained.remove(new Pair(caller, endpoint));
        } else {
            drained.putIfAbsent(new Pair(caller, endpoint), now);
        }
    }

    /** A relay has been told of another host in an endpoint's place: the former one's waits are over. */
    public void replaced(String caller, String endpoint) {
        waits.remove(new Pair(caller, endpoint));
    }

    /** A relay has been restarted: waits that it was told are over. */
    public void restarted(String caller) {
        waits.keySet().removeIf(pair -> pair.caller().equals(caller));
    }

    /** How often a line took effect. */
    public int effects(String of) {
        return effects.getOrDefault(of, 0);
    }

    /** When a message was first answered as delivered; -1 if never. */
    public long deliveredAt(String message) {
        return delivered.getOrDefault(message, -1L);
    }

    /** The first breaches, in the order of time; {@link #breachCount} counts all. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    public long breachCount() {
        return breachCount;
    }
}
