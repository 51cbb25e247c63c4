package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuorumTest {
    private static List<Member> members(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(new Member("m" + i, "m" + i, i + 1));
        }
        return members;
    }

    private static List<Member> subset(List<Member> members, int bits) {
        List<Member> subset = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            if ((bits >> i & 1) == 1) {
                subset.add(members.get(i));
            }
        }
        return subset;
    }

    private static Set<Long> incarnations(List<Member> members) {
        Set<Long> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        return incarnations;
    }

    private static boolean isQuorum(List<Member> members, int answered, int retired) {
        return (answered & retired) == 0
                && Quorum.isReached(members, subset(members, answered), incarnations(subset(members, retired)));
    }

    /**
     * Checks all pairs of responders and retired incarnations for up to six members. Two quorums may be disjoint only
     * if each one counts all responders of the other as retired, which cannot both be true.
     */
    @Test
    void anyTwoQuorumsIntersect() {
        int pairs = 0;
        for (int size = 1; size <= 6; size++) {
            List<Member> members = members(size);
            int subsets = 1 << size;
            List<int[]> quorums = new ArrayList<>();
            for (int answered = 0; answered < subsets; answered++) {
                for (int retired = 0; retired < subsets; retired++) {
                    if (isQuorum(members, answered, retired)) {
                        quorums.add(new int[] {answered, retired});
                    }
                }
            }
            for (int[] one : quorums) {
                for (int[] other : quorums) {
                    pairs++;
                    boolean intersect = (one[0] & other[0]) != 0;
                    boolean eachAfterRetirementOfOther =
                            (one[0] & other[1]) == one[0] && (other[0] & one[1]) == other[0];
                    assertTrue(
                            intersect || eachAfterRetirementOfOther,
                            members + " " + one[0] + "/" + one[1] + " " + other[0] + "/" + other[1]);
                }
            }
        }
        assertTrue(pairs > 10_000);
    }

    @Test
    void aViewOfTwoContinuesWithOneOnlyIfTheOtherIsRetired() {
        List<Member> two = members(2);
        assertFalse(isQuorum(two, 1, 0));
        assertTrue(isQuorum(two, 1, 2));
        assertFalse(isQuorum(two, 0, 3));
        assertFalse(isQuorum(members(3), 1, 6), "two of three retired: no majority");
    }

    @Test
    void seedsAreCountedByAddressAndNeverRetired() {
        View seeds = View.ofSeeds(List.of("m0", "m1", "m2"));
        assertTrue(Quorum.isReached(seeds.members(), subset(members(3), 3), Set.of()));
        assertFalse(Quorum.isReached(seeds.members(), subset(members(3), 1), Set.of(2L, 3L, 0L)));
    }
}
