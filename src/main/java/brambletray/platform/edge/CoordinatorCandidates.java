package brambletray.platform.edge;

import brambletray.platform.settings.Address;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The members of the control plane that an edge may ask for the coordinator, in order: those of the newest view that it
 * has received, then those that its settings have named, which may all be outdated by then. Each process starts at
 * another position, so that not all ask the same member. Does no I/O.
 */
final class CoordinatorCandidates {
    /** Addresses of the settings that are remembered. */
    private static final int MAX_CANDIDATES = 16;

    private final int startOffset;
    private List<Address> seeds = List.of();
    private List<Address> members = List.of();
    private long viewNumber;
    private List<Address> order = List.of();
    private int position;

    /** {@code startOffset}: any number, another in each process. */
    CoordinatorCandidates(int startOffset) {
        this.startOffset = startOffset;
    }

    /** Sets the members that the settings name now; those named before are kept after them. */
    void onSeeds(List<Address> named) {
        Set<Address> all = new LinkedHashSet<>(named);
        all.addAll(seeds);
        seeds = List.copyOf(all).subList(0, Math.min(MAX_CANDIDATES, all.size()));
        rebuildOrder();
    }

    /**
     * A member reports the members of an active view, of this number; an older view than the known one is ignored.
     */
    void onViewMembers(long reportedView, List<Address> reported) {
        if (reportedView > viewNumber && !reported.isEmpty()) {
            viewNumber = reportedView;
            members = List.copyOf(reported);
            rebuildOrder();
        }
    }

    private void rebuildOrder() {
        Set<Address> all = new LinkedHashSet<>();
        for (List<Address> part : List.of(members, seeds)) {
            for (int i = 0; i < part.size(); i++) {
                all.add(part.get(Math.floorMod(startOffset + i, part.size())));
            }
        }
        order = new ArrayList<>(all);
        position = 0;
    }

    /** A new search begins: at the members of the newest view. */
    void restart() {
        position = 0;
    }

    /** The next to ask, in turn, but not this one (null: any) if there is another; null: none is known. */
    Address next(Address excluded) {
        if (order.isEmpty()) {
            return null;
        }
        Address next = order.get(position++ % order.size());
        return next.equals(excluded) && order.size() > 1 ? order.get(position++ % order.size()) : next;
    }
}
