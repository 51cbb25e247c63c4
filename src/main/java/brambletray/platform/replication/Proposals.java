package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Proposals of this process until their outcome is known: given to the leader of each view in turn, so long as they
 * aren't in the order.
 */
final class Proposals {
    private static final int AGAIN_MS = 300;
    private static final int MOST = 256;
    private static final long MOST_BYTES = 16 << 20;

    private static final class Pending {
        final byte[] bytes;
        final long until;
        /** View whose leader was given it; null when it is certain that no leader can still give it a place. */
        Ballot sent;

        long sentAt;

        Pending(byte[] bytes, long until) {
            this.bytes = bytes;
            this.until = until;
        }
    }

    private final MemberState desk;
    private final Replica members;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private long waiting;

    Proposals(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
    }

    void propose(long token, byte[] bytes) {
        if (pending.size() >= MOST || waiting + bytes.length > MOST_BYTES) {
            desk.out.outcome(token, ProposalOutcome.REFUSED);
            return;
        }
        waiting += bytes.length;
        pending.put(token, new Pending(bytes, desk.now + desk.set.proposeMs()));
        pump();
    }

    /** Gives what waits to the leader of the view in force. */
    void pump() {
        if (pending.isEmpty() || !desk.inForce || !desk.works(desk.view.ballot()) || members.fallen()) {
            return;
        }
        for (Map.Entry<Long, Pending> one : pending.entrySet()) {
            Pending item = one.getValue();
            if (item.sent != null && !item.sent.equals(desk.view.ballot())) {
                // that view's leader has stopped: what isn't in the log that this view began with never got a place
                // that lasts
                if (desk.log.has(desk.origin, one.getKey())) {
                    continue;
                }
                item.sent = null;
            }
            if (item.sent != null && desk.now - item.sentAt < AGAIN_MS) {
                continue;
            }
            if (members.leading()) {
                if (item.sent == null && members.take(one.getKey(), item.bytes)) {
                    item.sent = desk.view.ballot();
                }
            } else if (desk.view.leader().life() != desk.me.life()) {
                item.sent = desk.view.ballot();
                item.sentAt = desk.now;
                desk.out.send(
                        desk.view.leader().address(),
                        new Frame.Submit(item.sent, desk.origin, one.getKey(), item.bytes));
            }
        }
    }

    void delivered(LogEntry entry) {
        Pending item = entry.origin() == desk.origin ? pending.remove(entry.token()) : null;
        if (item == null) {
            return;
        }
        waiting -= item.bytes.length;
        desk.out.outcome(entry.token(), ProposalOutcome.COMMITTED);
    }

    /** The state has jumped: whatever had been given to a leader may be in it. */
    void jumped() {
        end(item -> item.sent != null);
    }

    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        // who is about to end doesn't come in again: callers are to go on to the others now
        end(item -> desk.now > item.until || desk.leaving && members.fallen());
        pump();
    }

    private void end(java.util.function.Predicate<Pending> which) {
        List<Long> over = new ArrayList<>();
        for (Map.Entry<Long, Pending> one : pending.entrySet()) {
            if (which.test(one.getValue())) {
                over.add(one.getKey());
            }
        }
        for (long token : over) {
            Pending item = pending.remove(token);
            waiting -= item.bytes.length;
            desk.out.outcome(token, item.sent == null ? ProposalOutcome.REFUSED : ProposalOutcome.UNCLEAR);
        }
    }
}
