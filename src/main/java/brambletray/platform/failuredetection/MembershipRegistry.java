package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The hub's book of who lives among the edges. In comes who says {@link EdgeHello}. Out goes who is suspected by two of
 * the
 * others; or by all its watchers that live where that is one; or by one while its link to the hub is closed; or whose
 * link is closed and who was leaving or has nobody to watch it. A new hub begins with the newest roster that an edge
 * tells it and takes those that it hasn't heard as in for {@link #HOLD_MS}. Pure; times are ms of a steady clock.
 */
public final class MembershipRegistry {
    /** What comes out. */
    public interface Crier {
        /** To be told to all edges; {@code why} names what came and went. */
        void roster(Roster roster, String why);
    }

    /** ms for which a new hub takes those as in that another roster lists and that it has not heard itself. */
    public static final int HOLD_MS = 2_000;
    /**
     * ms for which a new hub says no roster if nobody has told it one: the first to come may be one that knows none.
     */
    public static final int QUIET_MS = 300;
    /** ms between two ticks from which on the hub itself has slept: what was suspected may be old. */
    private static final int SLEPT_MS = 1_000;
    /**
     * ms for which one that was put out and lives after all is not put out on the watchers' word; doubles each time.
     */
    private static final int PARDON_MS = 5_000;

    private static final int LONGEST_PARDON_MS = 60_000;
    /** Peers, and pardons, beyond this many are not taken in. */
    private static final int MOST = 4_096;

    private record Pardon(long life, int ms) {}

    private final long term;
    private final Crier crier;
    private final Map<String, MembershipEntry> entries = new TreeMap<>();
    private final Map<String, Pardon> outs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Pardon> eldest) {
            return size() > MOST;
        }
    };
    private final List<String> reasons = new ArrayList<>();
    private final long began;
    private long holdUntil;
    private long lastTick;
    private Roster told = Roster.NONE;
    private long spokenOfTerm;
    private long spokenOfNumber;
    private Roster roster;
    private WatchRing ring = new WatchRing(Roster.NONE);
    private boolean doubtful;

    /** The hub of this term begins. */
    public MembershipRegistry(long term, long now, Crier crier) {
        this.term = term;
        this.crier = crier;
        this.began = now;
        this.lastTick = now;
        this.holdUntil = now + HOLD_MS;
        this.roster = new Roster(term, 0, List.of());
    }

    /** What was said last; number 0: nothing yet. */
    public Roster roster() {
        return roster;
    }

    /** What this hub's {@link EdgeWelcome} says that it has. */
    public Roster newest() {
        return roster.number() > 0 ? roster : told;
    }

    /** An edge is on the line: new, or with another life or state, or back. */
    public void hello(EdgeHello hello, long now) {
        if (hello.rosterTerm() < term
                && Roster.newer(hello.rosterTerm(), hello.rosterNumber(), spokenOfTerm, spokenOfNumber)) {
            spokenOfTerm = hello.rosterTerm();
            spokenOfNumber = hello.rosterNumber();
        }
        Peer self = hello.self();
        MembershipEntry entry = entries.get(self.name());
        if (entry == null && entries.size() >= MOST) {
            return;
        }
        if (entry == null || entry.peer.life() != self.life()) {
            reasons.add(self.name() + (entry == null ? " came" : " came anew"));
            entry = MembershipEntry.heard(self, now);
            pardon(entry, now);
            entries.put(self.name(), entry);
        } else if (!entry.peer.equals(self)) {
            reasons.add(self.name() + (self.in() ? " changed" : " is leaving"));
        }
        entry.peer = self;
        entry.linked = true;
        entry.toldOf = false;
        entry.suspectedBy.clear();
    }

    /** An edge tells the roster that it has, as this hub's {@link EdgeWelcome} lacks it. */
    public void told(Roster other, long now) {
        if (other.term() >= term || !other.newerThan(told)) {
            return;
        }
        told = other;
        holdUntil = Math.max(holdUntil, now + HOLD_MS);
        for (Peer peer : other.peers()) {
            if (!entries.containsKey(peer.name()) && entries.size() < MOST) {
                entries.put(peer.name(), MembershipEntry.toldOf(peer, now));
                reasons.add(peer.name() + " was told of");
            }
        }
    }

    /** The link of this life of a peer to the hub is closed. */
    public void parted(String name, long life, long now) {
        MembershipEntry entry = entries.get(name);
        if (entry != null && entry.peer.life() == life && entry.linked) {
            entry.linked = false;
            entry.since = now;
            doubtful = true;
        }
    }

    /** A watcher misses the beats of a peer. */
    public void suspect(SuspicionReport suspect) {
        MembershipEntry entry = entries.get(suspect.name());
        MembershipEntry by = entries.get(suspect.by());
        if (entry != null && entry != by && by != null && entry.peer.life() == suspect.life()) {
            entry.suspectedBy.add(suspect.by());
            doubtful = true;
        }
    }

    /** It hears them again. */
    public void trust(SuspicionWithdrawal trust) {
        MembershipEntry entry = entries.get(trust.name());
        if (entry != null && entry.peer.life() == trust.life()) {
            entry.suspectedBy.remove(trust.by());
        }
    }

    /** Time has passed: decides who is out, and says the roster if it has changed. To be called every 50 to 100 ms. */
    public void tick(long now) {
        if (now - lastTick > SLEPT_MS) {
            for (MembershipEntry entry : entries.values()) {
                entry.suspectedBy.clear();
                entry.since = now;
            }
        }
        lastTick = now;
        if (doubtful || roster.number() == 0 || told != Roster.NONE) {
            judge(now);
        }
        if (!reasons.isEmpty() && ready(now)) {
            List<Peer> peers = new ArrayList<>(entries.size());
            entries.values().forEach(entry -> peers.add(entry.peer));
            roster = Roster.of(term, roster.number() + 1, peers);
            ring = new WatchRing(roster);
            String why = String.join("; ", reasons);
            reasons.clear();
            crier.roster(roster, why);
        }
    }

    private void judge(long now) {
        SuspicionRule verdict = new SuspicionRule(entries, ring, now, now < holdUntil);
        Map<String, String> out = new TreeMap<>();
        doubtful = false;
        for (Map.Entry<String, MembershipEntry> one : entries.entrySet()) {
            String why = verdict.of(one.getKey());
            if (why != null) {
                out.put(one.getKey(), why);
            } else if (!one.getValue().sound()) {
                doubtful = true;
            }
        }
        out.forEach((name, why) -> {
            reasons.add(name + " is out: " + why);
            MembershipEntry gone = entries.remove(name);
            for (MembershipEntry entry : entries.values()) {
                entry.suspectedBy.remove(name);
            }
            Pardon before = outs.get(name);
            boolean again = before != null && before.life() == gone.peer.life();
            outs.put(
                    name,
                    new Pardon(gone.peer.life(), again ? Math.min(LONGEST_PARDON_MS, before.ms() * 2) : PARDON_MS));
        });
    }

    /**
     * One that was put out by the watchers' word and lives after all: the path between them may be cut, and it shall
     * not come and go.
     */
    private void pardon(MembershipEntry entry, long now) {
        Pardon out = outs.get(entry.peer.name());
        if (out != null && out.life() == entry.peer.life()) {
            entry.pardonedUntil = now + out.ms();
        }
    }

    /**
     * Whether so much is known that a roster may be said: what an edge has spoken of was told, or nobody knew one for a
     * while.
     */
    private boolean ready(long now) {
        if (roster.number() > 0 || now >= holdUntil) {
            return true;
        }
        boolean all = !Roster.newer(spokenOfTerm, spokenOfNumber, told.term(), told.number());
        return all && (told != Roster.NONE || now - began >= QUIET_MS);
    }
}
