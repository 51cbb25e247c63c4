package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

class FaultToleranceTest {
    private static final Map<String, String> REGIONS = Map.of("z0", "r0", "z1", "r0", "z2", "r1", "z3", "r2");

    /** Whether at least one member remains after the loss of any {@code losses} groups. */
    private static boolean survivesAnyLoss(List<Member> members, int losses, Function<Member, String> group) {
        Set<String> groups = new HashSet<>();
        members.forEach(member -> groups.add(group.apply(member)));
        List<String> all = List.copyOf(groups);
        for (int lostBits = 0; lostBits < 1 << all.size(); lostBits++) {
            if (Integer.bitCount(lostBits) > losses) {
                continue;
            }
            int lost = lostBits;
            if (members.stream().allMatch(member -> (lost >> all.indexOf(group.apply(member)) & 1) == 1)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Compares with an enumeration of all losses, for all placements of up to five members in four zones and all
     * tolerances of up to three.
     */
    @Test
    void toleratesLossesThatLeaveAtLeastOneDisk() {
        int cases = 0;
        for (int size = 0; size <= 5; size++) {
            for (int placement = 0; placement < 1 << 2 * size; placement++) {
                List<Member> members = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    members.add(new Member("m" + i, "m" + i, i + 1, "z" + (placement >> 2 * i & 3)));
                }
                for (int all = 0; all < 64; all++) {
                    FaultTolerance tolerance = new FaultTolerance(all & 3, all >> 2 & 3, all >> 4, REGIONS);
                    boolean expected = survivesAnyLoss(members, tolerance.machines(), Member::address)
                            && survivesAnyLoss(members, tolerance.zones(), Member::zone)
                            && survivesAnyLoss(members, tolerance.regions(), member -> REGIONS.get(member.zone()));
                    assertEquals(expected, tolerance.toleratesLossWith(members), () -> tolerance + " " + members);
                    cases++;
                }
            }
        }
        assertTrue(cases > 80_000);
    }

    /** Whether a majority of the members remains after the loss of any {@code losses} groups. */
    private static boolean leavesMajority(List<Member> members, int losses, Function<Member, String> group) {
        List<String> groups = members.stream().map(group).distinct().sorted().toList();
        for (int lostBits = 0; lostBits < 1 << groups.size(); lostBits++) {
            if (Integer.bitCount(lostBits) > losses) {
                continue;
            }
            int lost = lostBits;
            long remaining = members.stream()
                    .filter(member -> (lost >> groups.indexOf(group.apply(member)) & 1) == 0)
                    .count();
            if (2 * remaining <= members.size()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Compares with an enumeration of lost zones and regions, for all placements of up to five members in four zones.
     */
    @Test
    void reportsZonesAndRegionsThatHoldHalfOfTheMembers() {
        int withoutMajority = 0;
        for (int size = 1; size <= 5; size++) {
            for (int placement = 0; placement < 1 << 2 * size; placement++) {
                List<Member> members = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    members.add(new Member("m" + i, "m" + i, i + 1, "z" + (placement >> 2 * i & 3)));
                }
                for (int all = 0; all < 16; all++) {
                    FaultTolerance tolerance = new FaultTolerance(1, all & 3, all >> 2, REGIONS);
                    boolean keepsMajority = leavesMajority(members, tolerance.zones(), Member::zone)
                            && leavesMajority(members, tolerance.regions(), member -> REGIONS.get(member.zone()));
                    assertEquals(
                            keepsMajority,
                            tolerance.groupsHoldingHalf(members).isEmpty(),
                            () -> tolerance + " " + members);
                    withoutMajority += keepsMajority ? 0 : 1;
                }
            }
        }
        assertTrue(withoutMajority > 1_000);
        List<Member> four = List.of(
                new Member("a", "a", 1, "z0"),
                new Member("b", "b", 2, "z0"),
                new Member("c", "c", 3, "z2"),
                new Member("d", "d", 4, "z3"));
        assertEquals(List.of("z0"), new FaultTolerance(1, 1, 0, REGIONS).groupsHoldingHalf(four));
        assertEquals(List.of("r0"), new FaultTolerance(1, 0, 1, REGIONS).groupsHoldingHalf(four));
        assertEquals(List.of(), new FaultTolerance(1, 0, 0, REGIONS).groupsHoldingHalf(four));
    }

    @Test
    void membersWithUnknownZoneCountAsOneZone() {
        List<Member> two = List.of(new Member("a", "a", 1), new Member("b", "b", 2));
        assertTrue(FaultTolerance.ofMachines(1).toleratesLossWith(two));
        assertFalse(new FaultTolerance(1, 1, 0, Map.of()).toleratesLossWith(two));
        assertFalse(new FaultTolerance(1, 0, 1, REGIONS)
                .toleratesLossWith(List.of(new Member("a", "a", 1, "x"), new Member("b", "b", 2, "y"))));
    }
}
