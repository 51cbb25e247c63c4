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
        List<Member> replica = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            replica.add(new Member("m" + i, "m" + i, i + 1));
        }
        return replica;
    }

    private static List<Member> subset(List<Member> replica, int bits) {
        List<Member> some = new ArrayList<>();
        for (int i = 0; i < replica.size(); i++) {
            if ((bits >> i & 1) == 1) {
                some.add(replica.get(i));
            }
        }
        return some;
    }

    private static Set<Long> incarnations(List<Member> replica) {
        Set<Long> incarnations = new HashSet<>();
        replica.forEach(member -> incarnations.add(member.incarnation()));
        return incarnations;
    }

    private static boolean isQuorum(List<Member> replica, int answered, int dead) {
        return (answered & dead) == 0 && Quorum.isReached(replica, subset(replica, answered), incarnations(subset(replica, dead)));
    }

    /**
     * All pairs of answers and proven deaths for up to six members. Where two don't meet, each would have answered
     * after the death of all of the other.
     */
    @Test
    void anyTwoQuorumsIntersect() {
        int pairs = 0;
        for (int size = 1; size <= 6; size++) {
            List<Member> replica = members(size);
            int all = 1 << size;
            List<int[]> quorums = new ArrayList<>();
            for (int answered = 0; answered < all; answered++) {
                for (int dead = 0; dead < all; dead++) {
                    if (isQuorum(replica, answered, dead)) {
                        quorums.add(new int[] {answered, dead});
                    }
                }
            }
            for (int[] one : quorums) {
                for (int[] other : quorums) {
                    pairs++;
                    boolean meet = (one[0] & other[0]) != 0;
                    boolean bothAfter = (one[0] & other[1]) == one[0] && (other[0] & one[1]) == other[0];
                    assertTrue(
                            meet || bothAfter, replica + " " + one[0] + "/" + one[1] + " " + other[0] + "/" + other[1]);
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
        assertFalse(isQuorum(members(3), 1, 6), "two of three dead is more than is borne");
    }

    @Test
    void seedsAreCountedByAddressAndNeverRetired() {
        View seeds = View.ofSeeds(List.of("m0", "m1", "m2"));
        assertTrue(Quorum.isReached(seeds.members(), subset(members(3), 3), Set.of()));
        assertFalse(Quorum.isReached(seeds.members(), subset(members(3), 1), Set.of(2L, 3L, 0L)));
    }
}
