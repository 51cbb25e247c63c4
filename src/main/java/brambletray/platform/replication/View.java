package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * A view: its members, its leader, and which earlier views must have been consulted before a later one may be
 * installed.
 *
 * @param ballot identifies the view; its number is the view's number
 * @param members leader first
 * @param predecessors the view that this one came from, and further ones back to the last that was known to be active
 *     when this one was proposed
 */
public record View(Ballot ballot, List<Member> members, List<ViewMembership> predecessors) {
    /** In the answer of a member without a view. */
    static final View NONE = new View(new Ballot(-1, 0), List.of(), List.of());

    /** The views that have to be consulted, this one first: only this one when it is known to be active. */
    public List<ViewMembership> viewsToConsult(boolean inForce) {
        List<ViewMembership> all = new ArrayList<>();
        all.add(new ViewMembership(ballot, members));
        if (!inForce) {
            all.addAll(predecessors);
        }
        return all;
    }

    /** The member that leads; null in the list of seeds. */
    public Member leader() {
        for (Member member : members) {
            if (member.incarnation() == ballot.proposer()) {
                return member;
            }
        }
        return null;
    }

    /** Whether this incarnation is a member. */
    public boolean contains(long incarnation) {
        return memberOf(incarnation) != null;
    }

    /** Member of this incarnation, or null. */
    public Member memberOf(long incarnation) {
        for (Member member : members) {
            if (member.incarnation() == incarnation) {
                return member;
            }
        }
        return null;
    }

    /** Member at this address, or null. */
    public Member memberAt(String address) {
        for (Member member : members) {
            if (member.address().equals(address)) {
                return member;
            }
        }
        return null;
    }

    /** Whether this is the list of seeds, which stands before the first view. */
    public boolean isFounding() {
        return ballot.equals(Ballot.NONE);
    }

    /** Number of the view. */
    public long number() {
        return ballot.number();
    }

    /** The list of seeds as a view before the first; incarnations are not known. */
    static View ofSeeds(List<String> seeds) {
        List<Member> members = new ArrayList<>();
        for (String seed : seeds) {
            members.add(new Member(seed, seed, 0));
        }
        return new View(Ballot.NONE, members, List.of());
    }
}
