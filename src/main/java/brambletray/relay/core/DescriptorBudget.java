package brambletray.relay.core;

import java.util.Arrays;

/**
 * Divides the process's file descriptors among their owners. The program's own files, the store, the notices and the
 * operators' console have reserved shares; clients and hosts share the rest. Not thread-safe; performs no I/O.
 */
public final class DescriptorBudget {
    /** Users of descriptors. The reserved shares are scaled down if they exceed half of the total. */
    public enum Owner {
        /** Libraries, listeners, the event loop, standard streams. */
        PROGRAM(32),
        /** Segments, manifests and marker files, including both files while one replaces the other. */
        STORE(24),
        /** The watch on the platform agent, and the notices sent to it. */
        NOTICES(4),
        /** The operators' console: its connections, and one that is being accepted. */
        CONSOLE(25),
        /** Two fifths of the total, but at most four fifths of what the reserved shares leave. */
        CLIENTS(0),
        /** The remainder: connections with calls and idle connections kept for reuse. */
        HOSTS(0);

        private final int reserved;

        Owner(int wanted) {
            this.reserved = wanted;
        }
    }

    private final int[] shares = new int[Owner.values().length];
    private final int[] inUse = new int[Owner.values().length];

    /** {@code total}: descriptors that the process may have open. */
    public DescriptorBudget(int total) {
        int reserved =
                Arrays.stream(Owner.values()).mapToInt(owner -> owner.reserved).sum();
        int remaining = total;
        for (Owner owner : Owner.values()) {
            int share = reserved <= total / 2 ? owner.reserved : owner.reserved * (total / 2) / reserved;
            shares[owner.ordinal()] = owner == Owner.CLIENTS
                    ? Math.min(total * 2 / 5, remaining * 4 / 5)
                    : owner == Owner.HOSTS ? remaining : share;
            remaining -= shares[owner.ordinal()];
        }
    }

    /** Number of descriptors that an owner may use. */
    public int share(Owner owner) {
        return shares[owner.ordinal()];
    }

    /** Number of descriptors that an owner uses now. */
    public int inUse(Owner owner) {
        return inUse[owner.ordinal()];
    }

    /** Takes one descriptor from an owner's share; false if the share is used up. */
    public boolean acquire(Owner owner) {
        boolean available = inUse(owner) < share(owner);
        inUse[owner.ordinal()] += available ? 1 : 0;
        return available;
    }

    /** Returns a closed descriptor to its owner's share. */
    public void release(Owner owner) {
        if (inUse(owner) == 0) {
            throw new IllegalStateException(owner + " released more descriptors than it acquired");
        }
        inUse[owner.ordinal()]--;
    }

    @Override
    public String toString() {
        return "hosts use " + inUse(Owner.HOSTS) + " of " + share(Owner.HOSTS) + ", clients may use up to "
                + share(Owner.CLIENTS);
    }
}
