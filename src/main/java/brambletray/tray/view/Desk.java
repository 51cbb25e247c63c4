package brambletray.tray.view;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one member knows and has promised. In memory it runs ahead of the disk; nothing of it is said before the
 * {@link Quill} has it synced.
 */
final class Desk {
    private static final int MOST_DEAD = 64;
    private static final int MOST_KNOWN = 16;
    private static final int MOST_LINEAGE = 8;

    Settings set;
    final Out out;
    final Matter matter;
    final Quill quill;
    /** Drawn at each start of the process: the origin of its proposals. */
    final long origin;

    Member me;
    /** Last view kept; null for who was never in one; the list of seeds for a founder. */
    View view;

    boolean inForce;
    Ballot promised = Ballot.NONE;
    /** Highest number heard of. */
    long seen;

    Log log = Log.empty();
    final Set<Long> dead = new LinkedHashSet<>();
    final Set<String> known = new LinkedHashSet<>();
    long commit;
    long delivered;
    /** Number of the view that the present one came from, if known to be in force; else -1. */
    long before = -1;
    /** Views that the present one came from, each straight from the one before it, as kept by this process. */
    List<Roll> lineage = List.of();
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
    java.util.function.Consumer<Entry> passed = entry -> {};

    Desk(Settings set, Out out, Matter matter, long origin) {
        this.set = set;
        this.out = out;
        this.matter = matter;
        this.origin = origin;
        this.quill = new Quill(out);
    }

    void load(Kept kept) {
        view = kept.view();
        inForce = kept.inForce();
        promised = kept.promise();
        seen = promised.number();
        log = kept.log();
        held = log.end();
        dead.addAll(kept.dead());
        known.addAll(kept.known());
        matter.restore(log.snapshot());
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
        return quill.failing() || quill.age(now) > set.illMs();
    }

    void promise(Ballot ballot) {
        promised = ballot;
        seen = Math.max(seen, ballot.number());
        quill.put(Kept.PROMISE, Codec.ballot(ballot), now);
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
        quill.put(Kept.DEAD, Codec.longs(dead), now);
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
        quill.put(Kept.KNOWN, Codec.strings(new ArrayList<>(known)), now);
    }

    /**
     * Keeps a proposed view with its log. False if that log would lose what is known to be kept: then nothing is
     * changed.
     */
    boolean accept(View next, Log chosen) {
        boolean both = commit >= chosen.base() && commit >= log.base();
        boolean broken =
                chosen.end() < commit || (both && !chosen.viewAt(commit).equals(log.viewAt(commit)));
        if (broken) {
            out.tell("view.trim-behind-commit", "view", next.ballot(), "end", chosen.end(), "commit", commit);
            return false;
        }
        Map<String, byte[]> changes = new LinkedHashMap<>();
        Log.differences(log, chosen, changes);
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
        quill.put(changes, now);
        quill.put(Kept.VIEW, Codec.view(view, false), now);
        for (Member member : next.members()) {
            meet(member.address());
        }
        long end = log.end();
        quill.then(() -> {
            if (view == next) {
                held = Math.max(held, end);
            }
        });
        if (jump) {
            matter.restore(log.snapshot());
            delivered = log.base();
            commit = Math.max(commit, delivered);
            jumped.run();
        }
        out.changed();
        return true;
    }

    /** That of the present view and the one after it, where the next came straight from it; else what the next tells of itself. */
    private List<Roll> lineage(View next) {
        if (next.past().size() != 1) {
            return List.of();
        }
        Roll last = next.past().get(0);
        if (view == null || !view.ballot().equals(last.ballot())) {
            return List.of(last);
        }
        List<Roll> longer = new ArrayList<>(lineage);
        longer.add(last);
        return List.copyOf(longer.subList(Math.max(0, longer.size() - MOST_LINEAGE), longer.size()));
    }

    /** The view is in force: all its members have kept it. */
    void force() {
        inForce = true;
        view = new View(view.ballot(), view.members(), List.of());
        quill.put(Kept.VIEW, Codec.view(view, true), now);
        out.tell(
                "view.in-force",
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

    /** Zones that may be lost with half of the view or more: said by each member, once for each view that is in force. */
    private void warnOfZones() {
        List<String> zones = set.tolerance().holdingHalf(view.members());
        if (!zones.isEmpty()) {
            out.warn(
                    "view.zones-hold-half",
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
    void append(Entry entry) {
        log.append(entry);
        quill.put(Kept.key(entry.index()), Codec.entry(entry), now);
    }

    /** All up to this place is kept on enough disks: delivers it. */
    void commitTo(long place) {
        commit = Math.max(commit, Math.min(place, log.end()));
        while (delivered < commit) {
            Entry entry = log.at(delivered + 1);
            delivered++;
            matter.deliver(entry.index(), entry.bytes());
            passed.accept(entry);
        }
        if (!log.full(delivered)) {
            return;
        }
        Log before = new Log(log.base(), log.baseView(), log.snapshot(), log.entries());
        log.compact(delivered, matter.snapshot());
        Map<String, byte[]> changes = new LinkedHashMap<>();
        Log.differences(before, log, changes);
        quill.put(changes, now);
    }

    boolean settled() {
        return inForce && commit >= floor;
    }

    Frame.Told told(Ballot ballot) {
        return new Frame.Told(
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
