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
 * What may be lost at once, with its disks, without losing a committed entry ({@code fault-tolerance} of the
 * settings): so many machines, or all machines of so many zones, or of so many regions.
 *
 * @param machines that may be lost
 * @param zones that may be lost
 * @param regions that may be lost
 * @param regionOf region of each zone; a zone that is not listed belongs to the region ""
 */
public record FaultTolerance(int machines, int zones, int regions, Map<String, String> regionOf) {
    /** Only machines are lost, not zones. */
    public static FaultTolerance ofMachines(int machines) {
        return new FaultTolerance(machines, 0, 0, Map.of());
    }

    /**
     * Whether an entry that is on the disks of all these members survives each such loss: whichever machines, zones
     * or regions are lost, one of the members is left. Members whose zone is not known count as one zone.
     */
    boolean toleratesLossWith(Collection<Member> members) {
        Set<String> in = new HashSet<>();
        Set<String> over = new HashSet<>();
        for (Member member : members) {
            in.add(member.zone());
            over.add(regionOf.getOrDefault(member.zone(), ""));
        }
        return members.size() > machines && in.size() > zones && over.size() > regions;
    }

    /**
     * Zones, or else regions, that may be lost at once and hold half of these members or more. Their loss leaves no
     * majority: nothing committed is lost, but nothing is committed until they are back. Empty where there are none.
     */
    List<String> groupsHoldingHalf(Collection<Member> members) {
        List<String> some = groupsHoldingHalf(members, zones, Member::zone);
        return some.isEmpty()
                ? groupsHoldingHalf(members, regions, member -> regionOf.getOrDefault(member.zone(), ""))
                : some;
    }

    private static List<String> groupsHoldingHalf(
            Collection<Member> members, int losses, Function<Member, String> group) {
        Map<String, Integer> sizes = new TreeMap<>();
        members.forEach(member -> sizes.merge(group.apply(member), 1, Integer::sum));
        List<String> largest = sizes.keySet().stream()
                .sorted(Comparator.<String>comparingInt(sizes::get).reversed().thenComparing(name -> name))
                .limit(losses)
                .toList();
        int held = largest.stream().mapToInt(sizes::get).sum();
        return held > 0 && 2 * held >= members.size() ? largest : List.of();
    }
}
