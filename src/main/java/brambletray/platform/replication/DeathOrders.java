package brambletray.platform.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Operators' orders that declare a machine dead which is gone for good and whose address never answers again. A
 * declared death counts like a proven one
 * (see {@link Quorum}), so the order is refused while there is any sign that the machine lives, and while the view
 * works without it.
 */
final class DeathOrders {
    /** ms for which the machine must not have been heard, by a process that listened all the while. */
    static final int SILENT_MS = 10_000;
    /** ms for an answer to the question that precedes the declaration. */
    static final int ANSWER_MS = 2_000;

    private record Order(Member who, long since, Consumer<Declaration> then) {}

    private final MemberState desk;
    private final Replica members;
    private final long startedAt;
    private final Map<String, Long> heardAt = new HashMap<>();
    private Order order;

    DeathOrders(MemberState desk, Replica members) {
        this.desk = desk;
        this.members = members;
        startedAt = desk.now;
    }

    /** Something has come from the machine at this address. */
    void heard(String address) {
        heardAt.put(address, desk.now);
    }

    void order(String address, long life, Consumer<Declaration> then) {
        Member who = find(address, life);
        Declaration refusal = refusal(who);
        if (refusal != null) {
            then.accept(refusal);
            return;
        }
        order = new Order(who, desk.now, then);
        desk.out.tell(
                "replication.death-ordered", "member", who.name(), "address", address, "life", Long.toHexString(life));
        desk.out.send(address, new Frame.IdentityRequest(desk.origin ^ desk.now));
    }

    private Declaration refusal(Member who) {
        if (who == null) {
            return Declaration.NO_MEMBER;
        }
        if (order != null) {
            return Declaration.BUSY;
        }
        if (members.status().standing() == ReplicaRole.MEMBER) {
            return Declaration.NOT_NEEDED;
        }
        if (desk.now - Math.max(startedAt, heardAt.getOrDefault(who.address(), startedAt)) < SILENT_MS) {
            return Declaration.HEARD;
        }
        return tooMany(who) ? Declaration.TOO_MANY : null;
    }

    /** The member of the last view, or of one that it came from; null if there is none, or it is this one. */
    private Member find(String address, long life) {
        if (desk.view == null || desk.view.founding() || life == desk.me.life()) {
            return null;
        }
        for (ViewMembership roll : desk.view.chain(desk.inForce)) {
            for (Member member : roll.members()) {
                if (member.life() == life && life != 0 && member.address().equals(address)) {
                    return member;
                }
            }
        }
        return null;
    }

    private boolean tooMany(Member who) {
        for (ViewMembership roll : desk.view.chain(desk.inForce)) {
            long gone = roll.members().stream()
                    .filter(member -> member.life() == who.life() || desk.dead.contains(member.life()))
                    .count();
            if (gone >= roll.members().size() / 2 + 1) {
                return true;
            }
        }
        return false;
    }

    void tick() {
        if (order == null) {
            return;
        }
        Member who = order.who();
        if (heardAt.getOrDefault(who.address(), startedAt) >= order.since()) {
            end(Declaration.HEARD);
        } else if (desk.now - order.since() >= ANSWER_MS) {
            declare(who);
        }
    }

    private void declare(Member who) {
        Consumer<Declaration> then = order.then();
        order = null;
        desk.bury(java.util.Set.of(who.life()));
        desk.writeAheadQueue.then(() -> {
            desk.out.tell(
                    "replication.declared-dead",
                    "member",
                    who.name(),
                    "address",
                    who.address(),
                    "life",
                    Long.toHexString(who.life()));
            then.accept(Declaration.DECLARED);
            members.buried();
        });
    }

    private void end(Declaration result) {
        Consumer<Declaration> then = order.then();
        order = null;
        then.accept(result);
    }
}
