package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The current view of this member, its lineage, and the other machines that are known. Invariant: the ballot of the
 * view only increases. {@link ReplicaState} writes each change to disk.
 */
final class MembershipState {
    private static final int MAX_RETIRED_INCARNATIONS = 64;
    private static final int MAX_KNOWN_ADDRESSES = 16;
    private static final int MAX_LINEAGE = 8;
    private static final long UNKNOWN_VIEW_NUMBER = -1;

    private final Member self;
    private View view;
    private boolean active;
    private long previousViewNumber = UNKNOWN_VIEW_NUMBER;
    private List<ViewMembership> lineage = List.of();
    private final Set<Long> retiredIncarnations = new LinkedHashSet<>();
    private final Set<String> knownAddresses = new LinkedHashSet<>();

    MembershipState(Member self) {
        this.self = self;
    }

    /** Restores the state that was read from disk. */
    void restore(DurableState stored) {
        view = stored.view();
        active = stored.active();
        retiredIncarnations.addAll(stored.retiredIncarnations());
        knownAddresses.addAll(stored.knownAddresses());
    }

    Member self() {
        return self;
    }

    /** The last view on disk. Before the first one: the list of seeds for a founder, otherwise null. */
    View view() {
        return view;
    }

    /** Whether all members of the view are known to have it on disk. */
    boolean isActive() {
        return active;
    }

    /** Number of the direct predecessor of the current view if that was known to be active, otherwise -1. */
    long previousViewNumber() {
        return previousViewNumber;
    }

    /** Chain of predecessors of the current view that this process has seen, oldest first, without gaps. */
    List<ViewMembership> lineage() {
        return lineage;
    }

    /** Incarnations whose disks are proven lost or that an operator has removed. */
    Set<Long> retiredIncarnations() {
        return Collections.unmodifiableSet(retiredIncarnations);
    }

    /** Control-plane addresses of known members, the most recent last. */
    Set<String> knownAddresses() {
        return Collections.unmodifiableSet(knownAddresses);
    }

    /** Makes this member a founder: the list of seeds serves as the view before the first one. */
    void foundFrom(List<String> seeds) {
        view = View.ofSeeds(seeds);
        active = true;
    }

    /** Installs a proposed view, which is not active yet. */
    void install(View next) {
        lineage = lineageOf(next);
        view = next;
        active = false;
        previousViewNumber =
                next.predecessors().size() == 1 ? next.predecessors().get(0).number() : UNKNOWN_VIEW_NUMBER;
    }

    /**
     * Marks the view active, as all its members have it on disk, and drops its predecessors, which are not needed now.
     */
    void activate() {
        active = true;
        view = new View(view.ballot(), view.members(), List.of());
    }

    private List<ViewMembership> lineageOf(View next) {
        if (next.predecessors().size() != 1) {
            return List.of();
        }
        ViewMembership last = next.predecessors().get(0);
        if (view == null || !view.ballot().equals(last.ballot())) {
            return List.of(last);
        }
        List<ViewMembership> longer = new ArrayList<>(lineage);
        longer.add(last);
        return List.copyOf(longer.subList(Math.max(0, longer.size() - MAX_LINEAGE), longer.size()));
    }

    /**
     * Adds permanently lost incarnations.
     *
     * @return whether any of them is new
     */
    boolean retire(Iterable<Long> incarnations) {
        boolean changed = false;
        for (long incarnation : incarnations) {
            changed |= incarnation != self.incarnation() && retiredIncarnations.add(incarnation);
        }
        while (changed && retiredIncarnations.size() > MAX_RETIRED_INCARNATIONS) {
            retiredIncarnations.remove(retiredIncarnations.iterator().next());
        }
        return changed;
    }

    /**
     * Adds the address of a member.
     *
     * @return whether it is new
     */
    boolean addKnownAddress(String address) {
        if (address.equals(self.address()) || knownAddresses.contains(address)) {
            return false;
        }
        while (knownAddresses.size() >= MAX_KNOWN_ADDRESSES) {
            knownAddresses.remove(knownAddresses.iterator().next());
        }
        knownAddresses.add(address);
        return true;
    }
}
