package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What was told in one attempt to change the view, this member's own answer first: which view counts, who has to be
 * asked, whether that is enough.
 */
final class StopAnswers {
    final List<Frame.StopAnswer> all;
    /** The view with the highest ballot that anybody has kept. */
    final View top;
    /** The views whose members have to be asked: {@link #top}, and back to the last that is known to be in force. */
    final List<ViewMembership> chain;
    /** Deaths that all who answered knew of when they did. */
    final Set<Long> dead;

    StopAnswers(List<Frame.StopAnswer> all) {
        this.all = all;
        View latest = all.get(0).view();
        dead = new HashSet<>(all.get(0).dead());
        for (Frame.StopAnswer told : all) {
            if (told.view().ballot().above(latest.ballot())) {
                latest = told.view();
            }
            dead.retainAll(told.dead());
        }
        top = latest;
        chain = new ArrayList<>();
        for (ViewMembership roll : top.chain(false)) {
            chain.add(roll);
            if (known(roll.ballot())) {
                break;
            }
        }
    }

    private boolean known(Ballot view) {
        for (Frame.StopAnswer told : all) {
            if (told.inForce() && told.view().ballot().equals(view)) {
                return true;
            }
        }
        return view.equals(Ballot.NONE);
    }

    boolean enough() {
        return enough(all);
    }

    /**
     * Whether these of the answers are enough for every one of the views. Who has kept nothing yet is none of the
     * founders, whatever its address.
     */
    boolean enough(List<Frame.StopAnswer> some) {
        for (ViewMembership roll : chain) {
            List<Member> answered = new ArrayList<>();
            for (Frame.StopAnswer told : some) {
                if (!roll.ballot().equals(Ballot.NONE) || !told.view().equals(View.NOTHING)) {
                    answered.add(told.me());
                }
            }
            if (!Quorum.enough(roll.members(), answered, dead)) {
                return false;
            }
        }
        return true;
    }

    /** Of those whose last view is the one that counts, the one with the longest log. */
    Frame.StopAnswer longest() {
        Frame.StopAnswer longest = null;
        for (Frame.StopAnswer told : all) {
            if (told.view().ballot().equals(top.ballot()) && (longest == null || told.end() > longest.end())) {
                longest = told;
            }
        }
        return longest;
    }

    /** Answer of this life, or null. */
    Frame.StopAnswer of(long life) {
        for (Frame.StopAnswer told : all) {
            if (told.me().life() == life) {
                return told;
            }
        }
        return null;
    }

    boolean heard(String address) {
        for (Frame.StopAnswer told : all) {
            if (told.me().address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Who of them is to be in the next view: members of any of the views, without the ill and the shunned if the rest
     * is enough. The proposer is always in; it gets the log like a newcomer if it was in none of them.
     */
    List<Member> next(Set<Long> shunned, FaultTolerance tolerance) {
        List<Frame.StopAnswer> everyone = new ArrayList<>();
        everyone.add(all.get(0));
        for (Frame.StopAnswer told : all) {
            if (!everyone.contains(told) && isIn(told)) {
                everyone.add(told);
            }
        }
        List<Frame.StopAnswer> well = new ArrayList<>();
        for (Frame.StopAnswer told : everyone) {
            if (!told.ill() && !shunned.contains(told.me().life())) {
                well.add(told);
            }
        }
        List<Member> all = members(everyone);
        List<Member> some = members(well);
        boolean rest =
                well.contains(this.all.get(0)) && enough(well) && (tolerance.bears(some) || some.size() == all.size());
        return rest ? some : all;
    }

    private static List<Member> members(List<Frame.StopAnswer> tolds) {
        List<Member> members = new ArrayList<>();
        for (Frame.StopAnswer told : tolds) {
            members.add(told.me());
        }
        return members;
    }

    private boolean isIn(Frame.StopAnswer told) {
        for (ViewMembership roll : chain) {
            for (Member member : roll.members()) {
                boolean same = member.life() != 0
                        ? member.life() == told.me().life()
                        : member.address().equals(told.me().address())
                                && !told.view().equals(View.NOTHING);
                if (same) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The views to be asked besides the next one, each set of members once. */
    List<ViewMembership> past() {
        List<ViewMembership> some = new ArrayList<>();
        Set<Set<Member>> sets = new HashSet<>();
        for (ViewMembership roll : chain) {
            if (sets.add(new HashSet<>(roll.members()))) {
                some.add(roll);
            }
        }
        return some;
    }
}
