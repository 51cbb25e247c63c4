package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The part of the leader of a view in force: gives places, sends entries, counts acknowledgements, beats, suspects. */
final class Leader {
    private static final int APPEND = 256 << 10;
    private static final int OPEN_ENTRIES = 128;
    /** Bytes on their way to a member, besides the first entry: what more it lacks follows its acknowledgements. */
    private static final int OPEN_BYTES = 1 << 20;
    /** Silence after which entries are sent again, and how many of their bytes a ms may take besides: 1 Mbit/s. */
    private static final int RESEND_MS = 200;

    private static final int RESEND_BYTES = 125;
    private static final int WELL_MS = 350;
    private static final int STOPPED_MS = 300;
    private static final int REST_MS = 100;
    private static final int CALL_BEATS = 10;
    private static final int CALL_MS = 30_000;
    private static final int RECENT = 1024;

    private static final class Peer {
        final Member member;
        long acked;
        long next;
        long heardAt;
        long movedAt = -1;
        long hintAt = Long.MIN_VALUE / 2;
        long stoppedAt = -1;
        long resentAt = -1;
        boolean ill;

        Peer(Member member, long end, long now) {
            this.member = member;
            acked = end;
            next = end + 1;
            heardAt = now;
        }
    }

    /** A proposal already given a place in this view. */
    private record Given(long origin, long token) {}

    private final MemberState desk;
    private final View view;
    private final Map<Long, Peer> peers = new HashMap<>();
    private final Set<Given> recent = new LinkedHashSet<>();
    private long own;
    private long seq;
    private long beatAt = Long.MIN_VALUE / 2;
    private long said;
    private final long since;

    Leader(MemberState desk) {
        this.desk = desk;
        this.view = desk.view;
        own = desk.log.end();
        since = desk.now;
        for (Member member : view.members()) {
            if (member.life() != desk.me.life()) {
                peers.put(member.life(), new Peer(member, own, desk.now));
            }
        }
        for (LogEntry entry : desk.log.entries()) {
            recent.add(new Given(entry.origin(), entry.token()));
        }
        count();
        beat();
    }

    /** Whether more than half of the members have answered of late without having stopped. */
    boolean well() {
        int well = 1;
        for (Peer peer : peers.values()) {
            if (peer.stoppedAt < 0 && desk.now - peer.heardAt <= WELL_MS) {
                well++;
            }
        }
        return 2 * well > view.members().size() && !desk.ill();
    }

    /** Gives a proposal a place, unless it has one; false when too much is open. */
    boolean take(long origin, long token, byte[] bytes) {
        if (!desk.works(view.ballot())) {
            return false;
        }
        Given given = new Given(origin, token);
        if (recent.contains(given)) {
            return true;
        }
        // what is under way is to be kept before another leads: nothing more is begun
        if (desk.draining) {
            return false;
        }
        if (desk.log.end() - desk.commit >= OPEN_ENTRIES || desk.writeAheadQueue.crowded(4 << 20)) {
            return false;
        }
        recent.add(given);
        if (recent.size() > RECENT + OPEN_ENTRIES) {
            recent.remove(recent.iterator().next());
        }
        LogEntry entry = new LogEntry(desk.log.end() + 1, view.ballot(), origin, token, bytes);
        desk.append(entry);
        desk.writeAheadQueue.then(() -> {
            if (!desk.view.ballot().equals(view.ballot())) {
                return;
            }
            own = Math.max(own, entry.index());
            desk.held = Math.max(desk.held, own);
            count();
        });
        for (Peer peer : peers.values()) {
            send(peer);
        }
        return true;
    }

    private void send(Peer peer) {
        if (peer.next > desk.log.end() || peer.next - peer.acked > OPEN_ENTRIES) {
            return;
        }
        long flying = desk.log.bytes(peer.acked, peer.next - 1);
        if (flying > OPEN_BYTES) {
            return;
        }
        if (peer.next <= desk.log.base()) {
            // can't be: what is compacted all members have on disk
            desk.out.tell(
                    "replication.behind-snapshot",
                    "member",
                    peer.member.name(),
                    "next",
                    peer.next,
                    "base",
                    desk.log.base());
            return;
        }
        List<LogEntry> entries = desk.log.after(peer.next - 1, APPEND);
        desk.out.send(
                peer.member.address(),
                new Frame.Append(view.ballot(), peer.next - 1, desk.log.viewAt(peer.next - 1), entries, desk.commit));
        if (peer.movedAt < 0) {
            peer.movedAt = desk.now;
        }
        peer.next += entries.size();
    }

    void ack(long life, long index) {
        Peer peer = peers.get(life);
        if (peer == null) {
            return;
        }
        if (index > peer.acked && index <= desk.log.end()) {
            peer.acked = index;
            peer.next = Math.max(peer.next, index + 1);
            peer.movedAt = index >= desk.log.end() ? -1 : desk.now;
            count();
        }
        send(peer);
    }

    void back(Frame.HeartbeatAnswer back) {
        Peer peer = peers.get(back.life());
        if (peer == null) {
            return;
        }
        // who was away couldn't acknowledge: its disk is timed from its return
        if (desk.now - peer.heardAt > WELL_MS && peer.movedAt >= 0) {
            peer.movedAt = desk.now;
        }
        peer.heardAt = desk.now;
        peer.ill = back.ill();
        desk.seen = Math.max(desk.seen, back.promised().number());
        if (!back.promised().above(view.ballot())) {
            peer.stoppedAt = -1;
            ack(back.life(), back.held());
        } else if (peer.stoppedAt < 0) {
            peer.stoppedAt = desk.now;
        }
        // what a broken link took with it goes again at once; and before the member is held to be slow
        long from = Math.max(peer.movedAt, peer.resentAt);
        boolean broken = peer.hintAt >= from;
        long taken = broken ? 0 : desk.log.bytes(back.held(), peer.next - 1) / RESEND_BYTES;
        long patience = Math.min(RESEND_MS + taken, desk.set.ackMs() * 3L / 4);
        if (back.held() < peer.next - 1 && desk.now - from > patience && back.held() >= desk.log.base()) {
            peer.resentAt = desk.now;
            peer.next = Math.max(back.held(), desk.log.base()) + 1;
            send(peer);
        }
    }

    /** Kept is what all members have on disk, when one of them is left whichever of those that may be lost are. */
    private void count() {
        if (!desk.works(view.ballot()) || !desk.set.tolerance().bears(view.members())) {
            return;
        }
        long all = own;
        for (Peer peer : peers.values()) {
            all = Math.min(all, peer.acked);
        }
        if (all > desk.commit || desk.delivered < desk.commit) {
            desk.commitTo(all);
        }
    }

    /**
     * Whether the view has been in force for a while, so that a planned change of it (a newcomer, a leave) doesn't
     * follow so close on the last that callers feel both as one pause.
     */
    boolean rested() {
        return desk.now - since >= REST_MS;
    }

    void gone(String address) {
        for (Peer peer : peers.values()) {
            if (peer.member.address().equals(address)) {
                peer.hintAt = desk.now;
            }
        }
    }

    /** Nobody is suspected until spans have run anew. */
    void doubt() {
        for (Peer peer : peers.values()) {
            peer.heardAt = desk.now;
            peer.movedAt = peer.acked < desk.log.end() ? desk.now : -1;
            peer.hintAt = Long.MIN_VALUE / 2;
            peer.stoppedAt = -1;
        }
    }

    void tick() {
        if (desk.now - beatAt >= desk.set.beatMs()) {
            beat();
        }
    }

    /** Tells the others soon what is kept. */
    void flush() {
        if (desk.commit <= said) {
            return;
        }
        said = desk.commit;
        for (Peer peer : peers.values()) {
            desk.out.send(
                    peer.member.address(),
                    new Frame.Append(view.ballot(), desk.log.end(), desk.log.endView(), List.of(), desk.commit));
        }
    }

    private void beat() {
        beatAt = desk.now;
        if (++seq % CALL_BEATS == 0) {
            call();
        }
        for (Peer peer : peers.values()) {
            desk.out.send(
                    peer.member.address(),
                    new Frame.Heartbeat(view.ballot(), seq, desk.commit, desk.floor, true, desk.ill()));
        }
    }

    /** After a change of view: who has left may be back with another disk and know nobody. */
    private void call() {
        if (desk.known.isEmpty() || desk.now - since > CALL_MS) {
            return;
        }
        Frame.KnownMembers met = new Frame.KnownMembers(List.copyOf(desk.known));
        for (String address : desk.known) {
            if (view.at(address) == null) {
                desk.out.send(address, met);
            }
        }
    }

    /** Members not heard for too long, or stopped for too long: not waited for in a change. */
    Set<Long> silent() {
        Set<Long> silent = new HashSet<>();
        for (Peer peer : peers.values()) {
            long silence = desk.now - peer.heardAt;
            boolean hint = peer.hintAt >= peer.heardAt && silence > WELL_MS;
            if (silence > desk.set.silentMs() || hint) {
                silent.add(peer.member.life());
            }
        }
        return silent;
    }

    /** Members that are there but whose disk is in the way of everything. */
    Set<Long> slow() {
        Set<Long> slow = new HashSet<>();
        for (Peer peer : peers.values()) {
            boolean there = desk.now - peer.heardAt <= WELL_MS;
            boolean late = peer.movedAt >= 0 && desk.now - peer.movedAt > desk.set.ackMs();
            if (there && (peer.ill || late)) {
                slow.add(peer.member.life());
            }
        }
        return slow;
    }

    /** Whether a member has stopped for another's change of which nothing came. */
    boolean stuck() {
        for (Peer peer : peers.values()) {
            if (peer.stoppedAt >= 0 && desk.now - peer.stoppedAt > STOPPED_MS) {
                return true;
            }
        }
        return false;
    }

    List<Member> others() {
        List<Member> others = new ArrayList<>();
        for (Peer peer : peers.values()) {
            others.add(peer.member);
        }
        return others;
    }
}
