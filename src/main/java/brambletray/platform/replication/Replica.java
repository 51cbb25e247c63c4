package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One member of the core: views, the order of changes, changes of view. Pure: time, frames and syncs come in,
 * {@link ReplicationActions} says what is to be done. One thread only. See the package's page for the rules and why
 * they hold.
 */
public final class Replica {
    /** All frames, for registration with the codec; the records within them come first. */
    public static final List<Class<?>> FRAMES = List.of(
            Ballot.class,
            Member.class,
            ViewMembership.class,
            View.class,
            LogEntry.class,
            LogPatch.class,
            CutDigest.class,
            Frame.Heartbeat.class,
            Frame.HeartbeatAnswer.class,
            Frame.Append.class,
            Frame.Ack.class,
            Frame.StopRequest.class,
            Frame.StopAnswer.class,
            Frame.Refuse.class,
            Frame.Install.class,
            Frame.TransferOffer.class,
            Frame.Installed.class,
            Frame.PatchMismatch.class,
            Frame.NotMember.class,
            Frame.JoinRequest.class,
            Frame.JoinAnswer.class,
            Frame.KnownMembers.class,
            Frame.IdentityRequest.class,
            Frame.IdentityAnswer.class,
            Frame.PieceRequest.class,
            Frame.Piece.class,
            Frame.Leave.class,
            Frame.Submit.class,
            Frame.ConfirmRequest.class,
            Frame.ConfirmAnswer.class);

    private final MemberState desk;
    private final Follower following;
    private final JoinRequester joinRequester;
    private final JoinAdmission gate;
    private final Proposals proposals;
    private final ReadIndex confirms;
    private final DeathOrders deathOrders;
    private final FrameDispatcher frameDispatcher;
    private List<String> seeds;
    private boolean born;
    private Leader leading;
    private ViewChange changing;
    private long tickAt;
    /** When each member that is about to end first said so. */
    private final Map<Long, Long> leavers = new LinkedHashMap<>();

    private PlannedLeave leaving;

    /**
     * @param address      of this machine's control-plane, as the others call it
     * @param name         node-name
     * @param zone         that this machine stands in; "" if it isn't known
     * @param freshLife    drawn at random, not 0: taken when {@code kept} is of an empty disk
     * @param origin       drawn at random at each start of the process, not 0
     * @param kept         what the disk holds
     * @param seeds        addresses from the settings
     * @param initialStart whether the settings say that the whole system starts for the first time
     * @param now          steady clock, ms
     */
    public Replica(
            String address,
            String name,
            String zone,
            long freshLife,
            long origin,
            DurableState kept,
            List<String> seeds,
            boolean initialStart,
            ReplicationSettings settings,
            ReplicationActions out,
            StateMachine stateMachine,
            long now) {
        desk = new MemberState(settings, out, stateMachine, origin);
        desk.now = now;
        tickAt = now;
        this.seeds = List.copyOf(seeds);
        boolean empty = kept.life() == 0;
        desk.me = new Member(address, name, empty ? freshLife : kept.life(), zone);
        desk.load(kept);
        List<String> founders = kept.seeds();
        if (empty) {
            desk.writeAheadQueue.put(DurableState.LIFE, ReplicationCodec.write(o -> o.writeLong(freshLife)), now);
            if (initialStart && seeds.contains(address)) {
                founders = this.seeds;
                desk.writeAheadQueue.put(DurableState.SEEDS, ReplicationCodec.strings(founders), now);
            }
        }
        if (desk.view == null && !founders.isEmpty()) {
            desk.view = View.ofSeeds(founders);
            desk.inForce = true;
        }
        following = new Follower(desk, this);
        joinRequester = new JoinRequester(desk, following);
        gate = new JoinAdmission(desk, this);
        proposals = new Proposals(desk, this);
        confirms = new ReadIndex(desk, this);
        deathOrders = new DeathOrders(desk, this);
        frameDispatcher = new FrameDispatcher(desk, this, following, joinRequester, gate, confirms);
        desk.passed = proposals::delivered;
        desk.jumped = proposals::jumped;
        desk.writeAheadQueue.then(() -> born = true);
        out.tell(
                "replication.start",
                "life",
                Long.toHexString(desk.me.life()),
                "empty",
                empty,
                "founder",
                !founders.isEmpty(),
                "view",
                desk.view == null ? "none" : desk.view.ballot(),
                "end",
                desk.log.end());
        desk.writeAheadQueue.flush(now);
    }

    /** The settings or the seeds have changed (SIGHUP). */
    public void settings(ReplicationSettings settings, List<String> newSeeds) {
        desk.set = settings;
        seeds = List.copyOf(newSeeds);
    }

    /** To be called every 25 to 50 ms; much later calls make this member doubt itself. */
    public void tick(long now) {
        enter(now);
        tickAt = now;
        if (born) {
            if (leading != null) {
                leading.tick();
            }
            if (changing != null) {
                changing.tick();
            }
            decide();
            knock();
            frameDispatcher.tick();
            proposals.tick();
            confirms.work();
            deathOrders.tick();
        }
        leave();
    }

    private void enter(long now) {
        desk.now = Math.max(now, desk.now);
        if (desk.now - tickAt <= desk.set.sleepMs()) {
            return;
        }
        desk.out.tell("replication.slept", "ms", desk.now - tickAt);
        tickAt = desk.now;
        following.doubt();
        if (leading != null) {
            leading.doubt();
        }
        if (changing != null && changing.asking()) {
            changing = null;
        }
    }

    private void leave() {
        if (leaving != null && born) {
            leaving.tick();
        }
        if (leading != null) {
            leading.flush();
        }
        desk.writeAheadQueue.flush(desk.now);
    }

    /** Begins a change of view where one is due. */
    private void decide() {
        if (changing != null && changing.asking() && leading == null && following.calm() && !desk.stopped()) {
            drop("the leader is heard again", 0);
        }
        if (changing != null || desk.view == null || desk.ill()) {
            return;
        }
        if (leading == null) {
            if (!desk.leaving && following.impatient()) {
                takeOver();
            }
            return;
        }
        Set<Long> silent = leading.silent();
        Set<Long> slow = leading.slow();
        if (!silent.isEmpty() || !slow.isEmpty()) {
            Set<Long> doubted = new LinkedHashSet<>(silent);
            doubted.addAll(slow);
            doubted.forEach(life -> gate.penalise(desk.view.member(life).address()));
            change(doubted, slow, (silent.isEmpty() ? "" : "silent ") + (slow.isEmpty() ? "" : "slow"));
        } else if (leading.stuck()) {
            change(Set.of(), Set.of(), "a member has stopped");
        } else if (desk.view.members().stream().anyMatch(member -> desk.dead.contains(member.life()))) {
            change(Set.of(), Set.of(), "a disk is lost");
        } else if (leading.rested()) {
            Set<Long> leaves = leaves();
            if (!gate.waiting().isEmpty()) {
                change(leaves, leaves, "newcomers");
            } else if (!leaves.isEmpty() && !awaited()) {
                change(leaves, leaves, "leaves");
            }
        }
    }

    /** Begins a change in place of a leader that is silent or about to end. */
    private void takeOver() {
        Member leader = desk.view.leader();
        Set<Long> without = leader == null || leader.life() == desk.me.life() ? Set.of() : Set.of(leader.life());
        boolean released = following.released() && !without.isEmpty();
        if (released) {
            // told on before the Stop that follows on the same link: who hasn't heard it would refuse, as the leader is
            // well
            for (Member member : desk.view.members()) {
                if (member.life() != desk.me.life()) {
                    desk.out.send(member.address(), new Frame.Leave(desk.view.ballot(), leader.life()));
                }
            }
        }
        change(without, released ? without : Set.of(), released ? "leader leaves" : "leader silent");
    }

    /** Members that are about to end, if the rest can go on without them and bears the losses; else none. */
    private Set<Long> leaves() {
        leavers.keySet().removeIf(life -> !desk.view.has(life));
        if (leavers.isEmpty()) {
            return Set.of();
        }
        List<Member> rest = new ArrayList<>(desk.view.members());
        rest.removeIf(member -> leavers.containsKey(member.life()));
        boolean enough = desk.set.tolerance().bears(rest) && Quorum.enough(desk.view.members(), rest, desk.dead);
        return enough ? Set.copyOf(leavers.keySet()) : Set.of();
    }

    /**
     * Whether who is about to end stays, as the one that takes its place is on its way: for half of what the leaver
     * has, at most.
     */
    private boolean awaited() {
        for (long at : leavers.values()) {
            if (2 * (desk.now - at) > desk.set.leaveMs()) {
                return false;
            }
        }
        return gate.expecting();
    }

    /** Whether a newcomer knocks. */
    boolean expecting() {
        return gate.expecting() || !gate.waiting().isEmpty();
    }

    private void change(Set<Long> doubted, Set<Long> shunned, String why) {
        Map<Long, Frame.JoinRequest> newcomers = leading != null ? gate.waiting() : new LinkedHashMap<>();
        changing = new ViewChange(desk, this, doubted, shunned, newcomers, why);
    }

    /** A frame from the member at this control-plane address. */
    public void heard(String from, Object frame, long now) {
        enter(now);
        deathOrders.heard(from);
        if (born && frame instanceof Frame known) {
            frameDispatcher.hear(from, known);
        }
        leave();
    }

    /**
     * An operator declares that the machine of this member is gone for good, with its disk, and will never answer
     * again. The order is the operator's
     * word and no proof: it must not be given on both sides of a partition. {@code then} is told what became of it, now
     * or within
     * a few seconds, and may not call back into this object before it returns.
     *
     * @param life as {@link ReplicaStatus#members} has it
     */
    public void declareDead(String address, long life, long now, Consumer<Declaration> then) {
        enter(now);
        deathOrders.order(address, life, then);
        leave();
    }

    /** The batch of this ticket is on the disk. */
    public void synced(long ticket, long now) {
        enter(now);
        desk.writeAheadQueue.synced(ticket);
        leave();
    }

    /**
     * The batch of this ticket could not be written; nothing is known of what is on the disk of it. It will be tried
     * again.
     */
    public void syncFailed(long ticket, long now) {
        enter(now);
        if (!desk.writeAheadQueue.failing()) {
            desk.out.tell("replication.disk-refuses", "ticket", ticket);
        }
        desk.writeAheadQueue.failed(ticket, desk.now);
        leave();
    }

    /** A connection to this address was refused or reset: a hint that only counts together with silence. */
    public void gone(String address, long now) {
        enter(now);
        following.gone(address);
        if (leading != null) {
            leading.gone(address);
        }
        leave();
    }

    /**
     * Proposes a change; its outcome comes through {@link ReplicationActions#outcome}. A token is used once in the life
     * of a process.
     */
    public void propose(long token, byte[] bytes, long now) {
        enter(now);
        proposals.propose(token, bytes);
        leave();
    }

    /**
     * Asks whether what has been delivered here is no older than all that was acknowledged until now:
     * {@link ReplicationActions#confirmed}.
     */
    public void confirm(long token, long now) {
        enter(now);
        confirms.confirm(token);
        leave();
    }

    /**
     * This process is about to end, as planned (SIGTERM): others lead and go on without it, and it doesn't come in
     * again. {@link #left} says when.
     */
    public void leave(long now) {
        enter(now);
        if (leaving == null) {
            desk.leaving = true;
            leaving = new PlannedLeave(desk, this);
        }
        leave();
    }

    /**
     * Whether this process may end: a view without it is in force, or it has waited for as long as it may
     * ({@link ReplicationSettings#leaveMs}).
     */
    public boolean left() {
        return leaving != null && leaving.over();
    }

    /** Whether this process has been told to end. */
    boolean leaving() {
        return desk.leaving;
    }

    /** A member is about to end. */
    void bye(String from, Frame.Leave bye) {
        View view = desk.view;
        if (view == null) {
            return;
        }
        if (!view.ballot().equals(bye.view())) {
            // the view without it is in force, and it hasn't heard of it
            boolean out = desk.inForce && view.ballot().above(bye.view()) && !view.has(bye.life());
            if (out) {
                desk.out.send(from, new Frame.NotMember(view));
            }
            return;
        }
        if (!view.has(bye.life()) || bye.life() == desk.me.life()) {
            return;
        }
        if (leading != null) {
            leavers.putIfAbsent(bye.life(), desk.now);
        } else if (bye.life() == view.ballot().who()) {
            following.bye();
        }
        decide();
    }

    /** What this member knows. */
    public ReplicaStatus status() {
        View view = desk.view;
        boolean founding = view != null && view.founding();
        boolean well = leading != null ? leading.well() : following.calm();
        ReplicaRole standing = joinRequester.active()
                ? ReplicaRole.KNOCKING
                : founding
                        ? ReplicaRole.FOUNDING
                        : desk.inForce && desk.works(view.ballot()) && well ? ReplicaRole.MEMBER : ReplicaRole.STOPPED;
        List<Member> members = view == null || founding ? List.of() : view.members();
        return new ReplicaStatus(
                standing,
                desk.me,
                view == null ? 0 : view.number(),
                desk.before,
                members,
                view == null ? null : view.leader(),
                leading != null,
                desk.inForce && !founding,
                desk.settled(),
                desk.commit,
                desk.delivered,
                desk.ill(),
                desk.lineage);
    }

    /**
     * Zones, or else regions, that may be lost and hold half of the view in force or more; empty where the rest would
     * go on.
     */
    public List<String> zonesHoldingHalf() {
        boolean known = desk.view != null && desk.inForce && !desk.view.founding();
        return known ? desk.set.tolerance().holdingHalf(desk.view.members()) : List.of();
    }

    /**
     * Control-plane address of the leader that the others go on with, once this process is about to end and is out;
     * else null.
     */
    public String successor() {
        return desk.leaving && following.fallen() ? following.left().leader().address() : null;
    }

    boolean leading() {
        return leading != null;
    }

    /** Whether this member leads a view that has been in force for a while. */
    boolean rested() {
        return leading != null && leading.rested();
    }

    /** The later view without this member, or null. */
    View without() {
        return following.left();
    }

    boolean well() {
        return leading != null && leading.well() && !desk.leaving;
    }

    boolean fallen() {
        return following.fallen();
    }

    boolean fresh() {
        return following.fresh();
    }

    int rank() {
        return following.rank();
    }

    ViewChange changing() {
        return changing;
    }

    /** The part that leads, if this member leads the view of this name and may work in it; else null. */
    Leader leads(Ballot view) {
        return leading != null && desk.works(view) ? leading : null;
    }

    /** Knocks, if there is reason to and it is time. */
    void knock() {
        joinRequester.tick(seeds);
    }

    boolean take(long token, byte[] bytes) {
        return leading.take(desk.origin, token, bytes);
    }

    /** Highest ballot that stands in the way of lower ones: promised, or counted by our own attempt. */
    Ballot reserved() {
        return changing != null && changing.ballot().above(desk.promised) ? changing.ballot() : desk.promised;
    }

    /** Another's change goes before ours: neither lead nor change. */
    void yield() {
        changing = null;
        stopLeading();
    }

    void stopLeading() {
        if (leading == null) {
            return;
        }
        leading = null;
        gate.clear();
        desk.out.changed();
    }

    /** Gives the attempt up; the next one not before the pause is over. */
    void drop(String why, long pauseMs) {
        desk.out.tell("replication.change-dropped", "ballot", changing.ballot(), "why", why);
        changing = null;
        following.quiet(pauseMs);
    }

    /**
     * Begins anew at once, without waiting for these; who answers all the same is left out if the rest is enough: it
     * would hold it up again.
     */
    void again(Set<Long> absent, String why) {
        changing = null;
        change(absent, absent, why);
    }

    /** A view has been kept here. */
    void accepted() {
        joinRequester.accepted();
    }

    /** The view of this member is in force, said by its leader. */
    void inForce() {
        proposals.pump();
    }

    /** All members have kept the view that this member has proposed. */
    void lead(List<String> leftOut) {
        changing = null;
        following.installed();
        desk.force();
        desk.floor = desk.log.end();
        desk.draining = false;
        gate.clear();
        leading = new Leader(desk);
        for (String address : new ArrayList<>(leftOut)) {
            desk.out.send(address, new Frame.NotMember(desk.view));
        }
        desk.out.changed();
        proposals.pump();
    }

    /** A disk is proven lost: an attempt under way is made anew with it. */
    void buried() {
        if (changing != null && changing.asking()) {
            again(Set.of(), "a disk is lost");
        }
    }
}
