package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The coordinator's registry of the edges. An edge enters by {@link EdgeHello}. It is removed when two others suspect
 * it; or all its healthy watchers where there is only one; or one while its link to the coordinator is closed; or
 * when its link is closed and it was leaving or has nobody to watch it. A new coordinator begins with the newest
 * roster that an edge reports and takes edges that it has not heard as active for {@link #REPORTED_GRACE_MS}. Pure;
 * times are ms of a steady clock.
 */
public final class MembershipRegistry {
    /** Takes the rosters. */
    public interface RosterListener {
        /** To be announced to all edges; {@code why} names who came and went. */
        void onRoster(Roster roster, String why);
    }

    /**
     * ms for which a new coordinator takes edges as active that another roster lists and that it has not heard
     * itself.
     */
    public static final int REPORTED_GRACE_MS = 2_000;
    /**
     * ms for which a new coordinator publishes no roster if nobody has reported one: the first edge to come may be
     * one that knows none.
     */
    public static final int FIRST_ROSTER_WAIT_MS = 300;
    /** ms between two ticks from which on the coordinator itself was paused: suspicions may be old. */
    private static final int MAX_TICK_DELAY_MS = 1_000;
    /**
     * ms for which an edge that was removed and is alive after all is not removed by the watchers' reports; doubles
     * each time.
     */
    private static final int IMMUNITY_MS = 5_000;

    private static final int MAX_IMMUNITY_MS = 60_000;
    /** Peers, and immunities, beyond this many are not taken in. */
    private static final int MAX_MEMBERS = 4_096;

    private record Immunity(long incarnation, int durationMs) {}

    private final long term;
    private final RosterListener listener;
    private final Map<String, MembershipEntry> entries = new TreeMap<>();
    private final Map<String, Immunity> immunities = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Immunity> eldest) {
            return size() > MAX_MEMBERS;
        }
    };
    private final List<String> reasons = new ArrayList<>();
    private final long startedAtMs;
    private long graceUntilMs;
    private long lastTickMs;
    private Roster reportedRoster = Roster.NONE;
    private long announcedTerm;
    private long announcedNumber;
    private Roster roster;
    private WatchRing ring = new WatchRing(Roster.NONE);
    private boolean needsEvaluation;

    /** The coordinator of this term begins. */
    public MembershipRegistry(long term, long nowMs, RosterListener listener) {
        this.term = term;
        this.listener = listener;
        this.startedAtMs = nowMs;
        this.lastTickMs = nowMs;
        this.graceUntilMs = nowMs + REPORTED_GRACE_MS;
        this.roster = new Roster(term, 0, List.of());
    }

    /** The roster that was published last; number 0 for none yet. */
    public Roster roster() {
        return roster;
    }

    /** The newest roster known here, for this coordinator's {@link EdgeWelcome}. */
    public Roster newest() {
        return roster.number() > 0 ? roster : reportedRoster;
    }

    /** An edge has connected: new, with another incarnation or state, or back. */
    public void onHello(EdgeHello hello, long nowMs) {
        if (hello.rosterTerm() < term
                && Roster.isNewer(hello.rosterTerm(), hello.rosterNumber(), announcedTerm, announcedNumber)) {
            announcedTerm = hello.rosterTerm();
            announcedNumber = hello.rosterNumber();
        }
        Peer self = hello.self();
        MembershipEntry entry = entries.get(self.name());
        if (entry == null && entries.size() >= MAX_MEMBERS) {
            return;
        }
        if (entry == null || entry.peer.incarnation() != self.incarnation()) {
            reasons.add(self.name() + (entry == null ? " came" : " came anew"));
            entry = MembershipEntry.connected(self, nowMs);
            grantImmunity(entry, nowMs);
            entries.put(self.name(), entry);
        } else if (!entry.peer.equals(self)) {
            reasons.add(self.name() + (self.isActive() ? " changed" : " is leaving"));
        }
        entry.peer = self;
        entry.linked = true;
        entry.onlyReported = false;
        entry.suspectedBy.clear();
    }

    /** An edge reports the roster that it has, as this coordinator's {@link EdgeWelcome} lacks it. */
    public void onReportedRoster(Roster other, long nowMs) {
        if (other.term() >= term || !other.isNewerThan(reportedRoster)) {
            return;
        }
        reportedRoster = other;
        graceUntilMs = Math.max(graceUntilMs, nowMs + REPORTED_GRACE_MS);
        for (Peer peer : other.peers()) {
            if (!entries.containsKey(peer.name()) && entries.size() < MAX_MEMBERS) {
                entries.put(peer.name(), MembershipEntry.reported(peer, nowMs));
                reasons.add(peer.name() + " was reported");
            }
        }
    }

    /** The link of this incarnation of a peer to the coordinator is closed. */
    public void onDisconnected(String name, long incarnation, long nowMs) {
        MembershipEntry entry = entries.get(name);
        if (entry != null && entry.peer.incarnation() == incarnation && entry.linked) {
            entry.linked = false;
            entry.statusSinceMs = nowMs;
            needsEvaluation = true;
        }
    }

    /** A watcher misses the heartbeats of a peer. */
    public void onSuspicion(SuspicionReport report) {
        MembershipEntry entry = entries.get(report.name());
        MembershipEntry by = entries.get(report.reportedBy());
        if (entry != null && entry != by && by != null && entry.peer.incarnation() == report.incarnation()) {
            entry.suspectedBy.add(report.reportedBy());
            needsEvaluation = true;
        }
    }

    /** It hears them again. */
    public void onWithdrawal(SuspicionWithdrawal withdrawal) {
        MembershipEntry entry = entries.get(withdrawal.name());
        if (entry != null && entry.peer.incarnation() == withdrawal.incarnation()) {
            entry.suspectedBy.remove(withdrawal.reportedBy());
        }
    }

    /** Decides who is removed, and publishes the roster if it has changed. To be called every 50 to 100 ms. */
    public void tick(long nowMs) {
        if (nowMs - lastTickMs > MAX_TICK_DELAY_MS) {
            for (MembershipEntry entry : entries.values()) {
                entry.suspectedBy.clear();
                entry.statusSinceMs = nowMs;
            }
        }
        lastTickMs = nowMs;
        if (needsEvaluation || roster.number() == 0 || reportedRoster != Roster.NONE) {
            evaluate(nowMs);
        }
        if (!reasons.isEmpty() && mayPublish(nowMs)) {
            List<Peer> peers = new ArrayList<>(entries.size());
            entries.values().forEach(entry -> peers.add(entry.peer));
            roster = Roster.of(term, roster.number() + 1, peers);
            ring = new WatchRing(roster);
            String why = String.join("; ", reasons);
            reasons.clear();
            listener.onRoster(roster, why);
        }
    }

    private void evaluate(long nowMs) {
        RemovalRule rule = new RemovalRule(entries, ring, nowMs, nowMs < graceUntilMs);
        Map<String, String> out = new TreeMap<>();
        needsEvaluation = false;
        for (Map.Entry<String, MembershipEntry> one : entries.entrySet()) {
            String why = rule.reasonToRemove(one.getKey());
            if (why != null) {
                out.put(one.getKey(), why);
            } else if (!one.getValue().isHealthy()) {
                needsEvaluation = true;
            }
        }
        out.forEach((name, why) -> {
            reasons.add(name + " is out: " + why);
            MembershipEntry removed = entries.remove(name);
            for (MembershipEntry entry : entries.values()) {
                entry.suspectedBy.remove(name);
            }
            Immunity before = immunities.get(name);
            boolean again = before != null && before.incarnation() == removed.peer.incarnation();
            immunities.put(
                    name,
                    new Immunity(
                            removed.peer.incarnation(),
                            again ? Math.min(MAX_IMMUNITY_MS, before.durationMs() * 2) : IMMUNITY_MS));
        });
    }

    /**
     * An edge that was removed by the watchers' reports and is alive after all: the path between them may be cut, and
     * it should not come and go.
     */
    private void grantImmunity(MembershipEntry entry, long nowMs) {
        Immunity out = immunities.get(entry.peer.name());
        if (out != null && out.incarnation() == entry.peer.incarnation()) {
            entry.immuneUntilMs = nowMs + out.durationMs();
        }
    }

    /**
     * Whether so much is known that a roster may be published: what an edge has announced was reported, or nobody
     * knew one for a while.
     */
    private boolean mayPublish(long nowMs) {
        if (roster.number() > 0 || nowMs >= graceUntilMs) {
            return true;
        }
        boolean all = !Roster.isNewer(announcedTerm, announcedNumber, reportedRoster.term(), reportedRoster.number());
        return all && (reportedRoster != Roster.NONE || nowMs - startedAtMs >= FIRST_ROSTER_WAIT_MS);
    }
}
