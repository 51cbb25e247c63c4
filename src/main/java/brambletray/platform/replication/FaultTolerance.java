package brambletray.platform.replication;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The simultaneous losses, disks included, that committed entries must survive ({@code fault-tolerance} in the
 * settings): a number of machines, or all machines of a number of zones, or of a number of regions.
 *
 * @param machines number of machines that may be lost
 * @param zones number of zones that may be lost
 * @param regions number of regions that may be lost
 * @param regionOf region by zone; zones that are not listed belong to region ""
 */
public record FaultTolerance(int machines, int zones, int regions, Map<String, String> regionOf) {
    /** Tolerates the loss of machines, but not of a whole zone or region. */
    public static FaultTolerance ofMachines(int machines) {
        return new FaultTolerance(machines, 0, 0, Map.of());
    }

    /**
     * Whether an entry that all these members have on disk survives any tolerated loss, that is, whether at least one
     * of them always remains. Members without a known zone count as a single zone.
     */
    boolean toleratesLossWith(Collection<Member> members) {
        Set<String> zonesWithMember = new HashSet<>();
        Set<String> regionsWithMember = new HashSet<>();
        for (Member member : members) {
            zonesWithMember.add(member.zone());
            regionsWithMember.add(regionOf.getOrDefault(member.zone(), ""));
        }
        return members.size() > machines && zonesWithMember.size() > zones && regionsWithMember.size() > regions;
    }

    /**
     * Zones, or if there are none, regions, whose simultaneous loss is tolerated and which hold at least half of these
     * members. Their loss leaves no majority: committed entries are kept, but nothing is committed until they are back.
     * Empty if there are none.
     */
    List<String> groupsHoldingHalf(Collection<Member> members) {
        List<String> zonesHoldingHalf = groupsHoldingHalf(members, zones, Member::zone);
        return zonesHoldingHalf.isEmpty()
                ? groupsHoldingHalf(members, regions, member -> regionOf.getOrDefault(member.zone(), ""))
                : zonesHoldingHalf;
    }

    private static List<String> groupsHoldingHalf(
            Collection<Member> members, int losses, Function<Member, String> group) {
        Map<String, Integer> sizes = new TreeMap<>();
        members.forEach(member -> sizes.merge(group.apply(member), 1, Integer::sum));
        List<String> largest = sizes.keySet().stream()
                .sorted(Comparator.<String>comparingInt(sizes::get).reversed().thenComparing(name -> name))
                .limit(losses)
                .toList();
        int membersHeld = largest.stream().mapToInt(sizes::get).sum();
        return membersHeld > 0 && 2 * membersHeld >= members.size() ? largest : List.of();
    }
}
