package brambletray.tray.view;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What may be lost at once, with its disks, while all that is kept stays kept ({@code fault-tolerance} of the
 * settings): so many machines, or all machines of so many zones, or of so many regions.
 *
 * @param machines that may be lost
 * @param zones    that may be lost
 * @param regions  that may be lost
 * @param regionOf region of each zone; a zone that isn't named counts as of the region ""
 */
public record Tolerance(int machines, int zones, int regions, Map<String, String> regionOf) {
    /** Only machines are lost, not zones. */
    public static Tolerance ofMachines(int machines) {
        return new Tolerance(machines, 0, 0, Map.of());
    }

    /**
     * Whether a change that is on the disks of all of these outlasts each such loss: whichever machines, zones or
     * regions go, one of them is left. Members whose zone isn't known count as of one zone.
     */
    boolean bears(Collection<Member> members) {
        Set<String> in = new HashSet<>();
        Set<String> over = new HashSet<>();
        for (Member member : members) {
            in.add(member.zone());
            over.add(regionOf.getOrDefault(member.zone(), ""));
        }
        return members.size() > machines && in.size() > zones && over.size() > regions;
    }
}
