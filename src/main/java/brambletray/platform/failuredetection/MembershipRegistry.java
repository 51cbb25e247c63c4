package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The coordinator's registry of the edges. An edge is added when it sends an {@link EdgeHello}. It is removed when two
 * others suspect it; or its only healthy watcher does; or any other does while its link to the coordinator is closed;
 * or its link is closed and it was leaving or has no healthy watcher. A new coordinator starts from the newest roster
 * that an edge reports, and considers edges that have not contacted it yet as active for {@link #REPORTED_GRACE_MS}.
 * Does no I/O; times are ms of a monotonic clock.
 */
public final class MembershipRegistry {
    /** Receives published rosters. */
    public interface RosterListener {
        /** The roster has to be sent to all edges; {@code reason} lists the changes since the previous one. */
        void onRoster(Roster roster, String reason);
    }

    /**
     * ms for which a new coordinator considers edges as active that an earlier coordinator's roster lists but that have
     * not contacted it yet.
     */
    public static final int REPORTED_GRACE_MS = 2_000;
    /**
     * ms for which a new coordinator publishes no roster if no edge has reported a roster: the first edge to connect
     * may be an edge without a roster.
     */
    public static final int FIRST_ROSTER_WAIT_MS = 300;
    /** ms between two ticks above which the coordinator itself was paused, so that suspicions may be outdated. */
    private static final int MAX_TICK_DELAY_MS = 1_000;
    /**
     * ms for which an edge that was removed although it is alive is not removed again because of watchers' reports;
     * doubles each time.
     */
    private static final int IMMUNITY_MS = 5_000;

    private static final int MAX_IMMUNITY_MS = 60_000;
    /** Maximum number of peers, and of remembered immunities; the least recently used immunities are dropped. */
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

    /** Starts the registry of the coordinator with this term. */
    public MembershipRegistry(long term, long nowMs, RosterListener listener) {
        this.term = term;
        this.listener = listener;
        this.startedAtMs = nowMs;
        this.lastTickMs = nowMs;
        this.graceUntilMs = nowMs + REPORTED_GRACE_MS;
        this.roster = new Roster(term, 0, List.of());
    }

    /** The last published roster; its number is 0 if none was published yet. */
    public Roster roster() {
        return roster;
    }

    /** The newest roster known here, for this coordinator's {@link EdgeWelcome}. */
    public Roster newest() {
        return roster.number() > 0 ? roster : reportedRoster;
    }

    /** An edge has connected or reconnected, or its incarnation or state has changed. */
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
            reasons.add(self.name() + (entry == null ? " joined" : " restarted"));
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

    /** An edge reports a roster that is newer than the one in this coordinator's {@link EdgeWelcome}. */
    public void onReportedRoster(Roster reported, long nowMs) {
        if (reported.term() >= term || !reported.isNewerThan(reportedRoster)) {
            return;
        }
        reportedRoster = reported;
        graceUntilMs = Math.max(graceUntilMs, nowMs + REPORTED_GRACE_MS);
        for (Peer peer : reported.peers()) {
            if (!entries.containsKey(peer.name()) && entries.size() < MAX_MEMBERS) {
                entries.put(peer.name(), MembershipEntry.reported(peer, nowMs));
                reasons.add(peer.name() + " was in a reported roster");
            }
        }
    }

    /** The link between this incarnation of a peer and the coordinator has closed. */
    public void onDisconnected(String name, long incarnation, long nowMs) {
        MembershipEntry entry = entries.get(name);
        if (entry != null && entry.peer.incarnation() == incarnation && entry.linked) {
            entry.linked = false;
            entry.statusSinceMs = nowMs;
            needsEvaluation = true;
        }
    }

    /** A watcher reports that a peer's heartbeats are missing. */
    public void onSuspicion(SuspicionReport report) {
        MembershipEntry entry = entries.get(report.name());
        MembershipEntry reporter = entries.get(report.reportedBy());
        if (entry != null
                && entry != reporter
                && reporter != null
                && entry.peer.incarnation() == report.incarnation()) {
            entry.suspectedBy.add(report.reportedBy());
            needsEvaluation = true;
        }
    }

    /** A watcher receives the peer's heartbeats again. */
    public void onWithdrawal(SuspicionWithdrawal withdrawal) {
        MembershipEntry entry = entries.get(withdrawal.name());
        if (entry != null && entry.peer.incarnation() == withdrawal.incarnation()) {
            entry.suspectedBy.remove(withdrawal.reportedBy());
        }
    }

    /**
     * Removes peers by the {@link RemovalRule}, and publishes the roster if it has changed. To be called every 50 to
     * 100 ms.
     */
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
            String reason = String.join("; ", reasons);
            reasons.clear();
            listener.onRoster(roster, reason);
        }
    }

    private void evaluate(long nowMs) {
        RemovalRule rule = new RemovalRule(entries, ring, nowMs, nowMs < graceUntilMs);
        Map<String, String> removals = new TreeMap<>();
        needsEvaluation = false;
        for (Map.Entry<String, MembershipEntry> mapEntry : entries.entrySet()) {
            String reason = rule.reasonToRemove(mapEntry.getKey());
            if (reason != null) {
                removals.put(mapEntry.getKey(), reason);
            } else if (!mapEntry.getValue().isHealthy()) {
                needsEvaluation = true;
            }
        }
        removals.forEach((name, reason) -> {
            reasons.add(name + " was removed: " + reason);
            MembershipEntry removed = entries.remove(name);
            for (MembershipEntry entry : entries.values()) {
                entry.suspectedBy.remove(name);
            }
            Immunity previous = immunities.get(name);
            boolean repeated = previous != null && previous.incarnation() == removed.peer.incarnation();
            immunities.put(
                    name,
                    new Immunity(
                            removed.peer.incarnation(),
                            repeated ? Math.min(MAX_IMMUNITY_MS, previous.durationMs() * 2) : IMMUNITY_MS));
        });
    }

    /**
     * Protects an edge that was removed although it is alive: if only the network path to its watchers is broken, it
     * must not be removed and added again and again.
     */
    private void grantImmunity(MembershipEntry entry, long nowMs) {
        Immunity immunity = immunities.get(entry.peer.name());
        if (immunity != null && immunity.incarnation() == entry.peer.incarnation()) {
            entry.immuneUntilMs = nowMs + immunity.durationMs();
        }
    }

    /**
     * Whether enough is known to publish a roster: the newest roster that an edge has announced was reported, or no
     * edge has had one for {@link #FIRST_ROSTER_WAIT_MS}.
     */
    private boolean mayPublish(long nowMs) {
        if (roster.number() > 0 || nowMs >= graceUntilMs) {
            return true;
        }
        boolean announcedRosterKnown =
                !Roster.isNewer(announcedTerm, announcedNumber, reportedRoster.term(), reportedRoster.number());
        return announcedRosterKnown && (reportedRoster != Roster.NONE || nowMs - startedAtMs >= FIRST_ROSTER_WAIT_MS);
    }
}
