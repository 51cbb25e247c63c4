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

    /** Whether one is left whichever so many of the groups are lost. */
    private static boolean survivesAnyLoss(List<Member> replica, int losses, Function<Member, String> group) {
        Set<String> groups = new HashSet<>();
        replica.forEach(member -> groups.add(group.apply(member)));
        List<String> all = List.copyOf(groups);
        for (int lostIncarnations = 0; lostIncarnations < 1 << all.size(); lostIncarnations++) {
            if (Integer.bitCount(lostIncarnations) > losses) {
                continue;
            }
            int gone = lostIncarnations;
            if (replica.stream().allMatch(member -> (gone >> all.indexOf(group.apply(member)) & 1) == 1)) {
                return false;
            }
        }
        return true;
    }

    /**
     * All placements of up to five members in four zones, all tolerances of up to three, against losing everything in
     * turn.
     */
    @Test
    void toleratesLossesThatLeaveAtLeastOneDisk() {
        int cases = 0;
        for (int size = 0; size <= 5; size++) {
            for (int placed = 0; placed < 1 << 2 * size; placed++) {
                List<Member> replica = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    replica.add(new Member("m" + i, "m" + i, i + 1, "z" + (placed >> 2 * i & 3)));
                }
                for (int all = 0; all < 64; all++) {
                    FaultTolerance tolerance = new FaultTolerance(all & 3, all >> 2 & 3, all >> 4, REGIONS);
                    boolean expected = survivesAnyLoss(replica, tolerance.machines(), Member::address)
                            && survivesAnyLoss(replica, tolerance.zones(), Member::zone)
                            && survivesAnyLoss(replica, tolerance.regions(), member -> REGIONS.get(member.zone()));
                    assertEquals(expected, tolerance.toleratesLossWith(replica), () -> tolerance + " " + replica);
                    cases++;
                }
            }
        }
        assertTrue(cases > 80_000);
    }

    /** Whether a majority is left whichever so many of the groups are lost. */
    private static boolean leavesMajority(List<Member> replica, int losses, Function<Member, String> group) {
        List<String> all = replica.stream().map(group).distinct().sorted().toList();
        for (int lostIncarnations = 0; lostIncarnations < 1 << all.size(); lostIncarnations++) {
            if (Integer.bitCount(lostIncarnations) > losses) {
                continue;
            }
            int gone = lostIncarnations;
            long rest = replica.stream()
                    .filter(member -> (gone >> all.indexOf(group.apply(member)) & 1) == 0)
                    .count();
            if (2 * rest <= replica.size()) {
                return false;
            }
        }
        return true;
    }

    /** All placements of up to five members in four zones, against losing each set of zones, or of regions, in turn. */
    @Test
    void reportsZonesAndRegionsThatHoldHalfOfTheMembers() {
        int warned = 0;
        for (int size = 1; size <= 5; size++) {
            for (int placed = 0; placed < 1 << 2 * size; placed++) {
                List<Member> replica = new ArrayList<>();
                for (int i = 0; i < size; i++) {
                    replica.add(new Member("m" + i, "m" + i, i + 1, "z" + (placed >> 2 * i & 3)));
                }
                for (int all = 0; all < 16; all++) {
                    FaultTolerance tolerance = new FaultTolerance(1, all & 3, all >> 2, REGIONS);
                    boolean sound = leavesMajority(replica, tolerance.zones(), Member::zone)
                            && leavesMajority(replica, tolerance.regions(), member -> REGIONS.get(member.zone()));
                    assertEquals(
                            sound, tolerance.groupsHoldingHalf(replica).isEmpty(), () -> tolerance + " " + replica);
                    warned += sound ? 0 : 1;
                }
            }
        }
        assertTrue(warned > 1_000);
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
