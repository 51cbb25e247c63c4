package brambletray.platform.edge;

import brambletray.platform.settings.Address;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The control plane members that an edge tries when it looks for the coordinator, in order: those of the newest view
 * that it has received, then those named by its settings, which may all be outdated by then. Each process starts at a
 * different offset, so that not all edges try the same member. Does no I/O.
 */
final class CoordinatorCandidates {
    /** Maximum number of addresses from settings that are retained. */
    private static final int MAX_CANDIDATES = 16;

    private final int startOffset;
    private List<Address> seeds = List.of();
    private List<Address> members = List.of();
    private long viewNumber;
    private List<Address> order = List.of();
    private int position;

    /** {@code startOffset}: any number, different in each process. */
    CoordinatorCandidates(int startOffset) {
        this.startOffset = startOffset;
    }

    /** Sets the members that the settings name now; previously named ones come after them. */
    void onSeeds(List<Address> named) {
        Set<Address> all = new LinkedHashSet<>(named);
        all.addAll(seeds);
        seeds = List.copyOf(all).subList(0, Math.min(MAX_CANDIDATES, all.size()));
        rebuildOrder();
    }

    /** Sets the members of the active view with this number; ignored unless it is newer than the known view. */
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

    /** Starts a new search, at the members of the newest view. */
    void restart() {
        position = 0;
    }

    /** The next member in turn, skipping {@code excluded} (may be null) if there is another; null: none is known. */
    Address next(Address excluded) {
        if (order.isEmpty()) {
            return null;
        }
        Address next = order.get(position++ % order.size());
        return next.equals(excluded) && order.size() > 1 ? order.get(position++ % order.size()) : next;
    }
}
