package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * A view: its members, its leader, and the earlier views that must be consulted before a later view may be installed.
 *
 * @param ballot identifies the view; its number is the view's number
 * @param members leader first
 * @param predecessors the direct predecessor of this view and further ones, back to the last view that was known to be
 *     active when this one was proposed
 */
public record View(Ballot ballot, List<Member> members, List<ViewMembership> predecessors) {
    /** Stands for a missing view in the prepare response of a member without one. */
    static final View NONE = new View(new Ballot(-1, 0), List.of(), List.of());

    /** The views to consult, this one first; only this one if it is known to be active. */
    public List<ViewMembership> viewsToConsult(boolean active) {
        List<ViewMembership> all = new ArrayList<>();
        all.add(new ViewMembership(ballot, members));
        if (!active) {
            all.addAll(predecessors);
        }
        return all;
    }

    /** The leader, which is the member that proposed the view; null for the founding view. */
    public Member leader() {
        for (Member member : members) {
            if (member.incarnation() == ballot.proposer()) {
                return member;
            }
        }
        return null;
    }

    /** Whether the member with this incarnation belongs to the view. */
    public boolean contains(long incarnation) {
        return memberOf(incarnation) != null;
    }

    /** The member with this incarnation, or null. */
    public Member memberOf(long incarnation) {
        for (Member member : members) {
            if (member.incarnation() == incarnation) {
                return member;
            }
        }
        return null;
    }

    /** The member with this address, or null. */
    public Member memberAt(String address) {
        for (Member member : members) {
            if (member.address().equals(address)) {
                return member;
            }
        }
        return null;
    }

    /** Whether this is the founding view, made from the seeds, which precedes the first proposed view. */
    public boolean isFounding() {
        return ballot.equals(Ballot.NONE);
    }

    /** Number of the view, which is the number of its ballot. */
    public long number() {
        return ballot.number();
    }

    /** Creates the founding view from the seeds, whose incarnations are unknown. */
    static View ofSeeds(List<String> seeds) {
        List<Member> members = new ArrayList<>();
        for (String seed : seeds) {
            members.add(new Member(seed, seed, 0));
        }
        return new View(Ballot.NONE, members, List.of());
    }
}
