package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one member knows and has promised. In memory it runs ahead of the disk; nothing of it is said before the
 * {@link WriteAheadQueue} has it synced.
 */
final class MemberState {
    private static final int MOST_DEAD = 64;
    private static final int MOST_KNOWN = 16;
    private static final int MOST_LINEAGE = 8;

    ReplicationSettings set;
    final ReplicationActions out;
    final StateMachine stateMachine;
    final WriteAheadQueue writeAheadQueue;
    /** Drawn at each start of the process: the origin of its proposals. */
    final long origin;

    Member me;
    /** Last view kept; null for who was never in one; the list of seeds for a founder. */
    View view;

    boolean inForce;
    Ballot promised = Ballot.NONE;
    /** Highest number heard of. */
    long seen;

    ReplicatedLog log = ReplicatedLog.empty();
    final Set<Long> dead = new LinkedHashSet<>();
    final Set<String> known = new LinkedHashSet<>();
    long commit;
    long delivered;
    /** Number of the view that the present one came from, if known to be in force; else -1. */
    long before = -1;
    /** Views that the present one came from, each straight from the one before it, as kept by this process. */
    List<ViewMembership> lineage = List.of();
    /** Where the log ended when the view was installed: what earlier views may have acknowledged lies up to there. */
    long floor = Long.MAX_VALUE;
    /** Up to here the log is on the disk, as a log of the present view. */
    long held;

    long now;
    /** This process is about to end. */
    boolean leaving;
    /** It leads and is about to hand over: what is under way is finished, nothing more is begun. */
    boolean draining;
    /** Transfers begun in this process. */
    long transfers;
    /** Called when the state above has jumped by a snapshot. */
    Runnable jumped = () -> {};
    /** Called for each entry delivered. */
    java.util.function.Consumer<LogEntry> passed = entry -> {};

    MemberState(ReplicationSettings set, ReplicationActions out, StateMachine stateMachine, long origin) {
        this.set = set;
        this.out = out;
        this.stateMachine = stateMachine;
        this.origin = origin;
        this.writeAheadQueue = new WriteAheadQueue(out);
    }

    void load(DurableState kept) {
        view = kept.view();
        inForce = kept.inForce();
        promised = kept.promise();
        seen = promised.number();
        log = kept.log();
        held = log.end();
        dead.addAll(kept.dead());
        known.addAll(kept.known());
        stateMachine.restore(log.snapshot());
        delivered = log.base();
        commit = log.base();
    }

    /** Whether a promise forbids to acknowledge anything in the present view. */
    boolean stopped() {
        return view != null && promised.above(view.ballot());
    }

    /** Whether this is the present view, and no promise forbids to work in it. */
    boolean works(Ballot ballot) {
        return view != null && view.ballot().equals(ballot) && !stopped() && !view.founding();
    }

    boolean ill() {
        return writeAheadQueue.failing() || writeAheadQueue.age(now) > set.illMs();
    }

    void promise(Ballot ballot) {
        promised = ballot;
        seen = Math.max(seen, ballot.number());
        writeAheadQueue.put(DurableState.PROMISE, ReplicationCodec.ballot(ballot), now);
        out.changed();
    }

    /** Keeps lives whose disks are proven lost; they count only after the sync. Returns whether one is new. */
    boolean bury(Iterable<Long> lives) {
        boolean some = false;
        for (long life : lives) {
            some |= life != me.life() && dead.add(life);
        }
        if (!some) {
            return false;
        }
        while (dead.size() > MOST_DEAD) {
            dead.remove(dead.iterator().next());
        }
        writeAheadQueue.put(DurableState.DEAD, ReplicationCodec.longs(dead), now);
        return true;
    }

    void meet(String address) {
        if (address.equals(me.address()) || known.contains(address)) {
            return;
        }
        while (known.size() >= MOST_KNOWN) {
            known.remove(known.iterator().next());
        }
        known.add(address);
        writeAheadQueue.put(DurableState.KNOWN, ReplicationCodec.strings(new ArrayList<>(known)), now);
    }

    /**
     * Keeps a proposed view with its log. False if that log would lose what is known to be kept: then nothing is
     * changed.
     */
    boolean accept(View next, ReplicatedLog chosen) {
        boolean both = commit >= chosen.base() && commit >= log.base();
        boolean broken =
                chosen.end() < commit || (both && !chosen.viewAt(commit).equals(log.viewAt(commit)));
        if (broken) {
            out.tell("replication.trim-behind-commit", "view", next.ballot(), "end", chosen.end(), "commit", commit);
            return false;
        }
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.differences(log, chosen, changes);
        boolean jump = chosen.base() > delivered;
        log = chosen;
        lineage = lineage(next);
        view = next;
        inForce = false;
        before = next.past().size() == 1 ? next.past().get(0).ballot().number() : -1;
        floor = Long.MAX_VALUE;
        held = 0;
        if (next.ballot().above(promised)) {
            promise(next.ballot());
        }
        writeAheadQueue.put(changes, now);
        writeAheadQueue.put(DurableState.VIEW, ReplicationCodec.view(view, false), now);
        for (Member member : next.members()) {
            meet(member.address());
        }
        long end = log.end();
        writeAheadQueue.then(() -> {
            if (view == next) {
                held = Math.max(held, end);
            }
        });
        if (jump) {
            stateMachine.restore(log.snapshot());
            delivered = log.base();
            commit = Math.max(commit, delivered);
            jumped.run();
        }
        out.changed();
        return true;
    }

    /**
     * That of the present view and the one after it, where the next came straight from it; else what the next tells of
     * itself.
     */
    private List<ViewMembership> lineage(View next) {
        if (next.past().size() != 1) {
            return List.of();
        }
        ViewMembership last = next.past().get(0);
        if (view == null || !view.ballot().equals(last.ballot())) {
            return List.of(last);
        }
        List<ViewMembership> longer = new ArrayList<>(lineage);
        longer.add(last);
        return List.copyOf(longer.subList(Math.max(0, longer.size() - MOST_LINEAGE), longer.size()));
    }

    /** The view is in force: all its members have kept it. */
    void force() {
        inForce = true;
        view = new View(view.ballot(), view.members(), List.of());
        writeAheadQueue.put(DurableState.VIEW, ReplicationCodec.view(view, true), now);
        out.tell(
                "replication.in-force",
                "view",
                view.ballot(),
                "members",
                names(view.members()),
                "leader",
                view.leader().name(),
                "end",
                log.end());
        warnOfZones();
        out.changed();
    }

    /**
     * Zones that may be lost with half of the view or more: said by each member, once for each view that is in force.
     */
    private void warnOfZones() {
        List<String> zones = set.tolerance().holdingHalf(view.members());
        if (!zones.isEmpty()) {
            out.warn(
                    "replication.zones-hold-half",
                    "view",
                    view.ballot(),
                    "zones",
                    String.join(" ", zones),
                    "members",
                    names(view.members()),
                    "why",
                    "if they are lost, the rest waits until they are back");
        }
    }

    /** Puts an entry at the end; {@code then} runs once it is on the disk. */
    void append(LogEntry entry) {
        log.append(entry);
        writeAheadQueue.put(DurableState.key(entry.index()), ReplicationCodec.entry(entry), now);
    }

    /** All up to this place is kept on enough disks: delivers it. */
    void commitTo(long place) {
        commit = Math.max(commit, Math.min(place, log.end()));
        while (delivered < commit) {
            LogEntry entry = log.at(delivered + 1);
            delivered++;
            stateMachine.deliver(entry.index(), entry.bytes());
            passed.accept(entry);
        }
        if (!log.full(delivered)) {
            return;
        }
        ReplicatedLog before = new ReplicatedLog(log.base(), log.baseView(), log.snapshot(), log.entries());
        log.compact(delivered, stateMachine.snapshot());
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.differences(before, log, changes);
        writeAheadQueue.put(changes, now);
    }

    boolean settled() {
        return inForce && commit >= floor;
    }

    Frame.StopAnswer told(Ballot ballot) {
        return new Frame.StopAnswer(
                ballot,
                me,
                view == null ? View.NOTHING : view,
                inForce,
                log.end(),
                log.endView(),
                commit,
                ill(),
                List.copyOf(dead));
    }

    static String names(List<Member> members) {
        StringBuilder names = new StringBuilder();
        for (Member member : members) {
            if (names.length() > 0) {
                names.append(' ');
            }
            names.append(member.name()).append('/').append(Long.toHexString(member.life()));
        }
        return names.toString();
    }
}
