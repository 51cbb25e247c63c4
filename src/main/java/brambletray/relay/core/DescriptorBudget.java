package brambletray.relay.core;

import java.util.Arrays;

/**
 * Who may have how many of the process's descriptors: one account with a share for each owner. The program's
 * own files, the store, the notices and the operators' address have theirs before any client or host gets
 * one. One thread; no I/O.
 */
public final class DescriptorBudget {
    /** Who holds descriptors. Those with a number have that share, as far as half of all suffices. */
    public enum Owner {
        /** Libraries, listeners, the event loop, standard streams. */
        PROGRAM(32),
        /** Segments, manifests and marks, while one takes another's place too. */
        STORE(24),
        /** The agent's watch and the notices to it. */
        NOTICES(4),
        /** The operators' address: its callers and one in the admission gate. */
        CONSOLE(25),
        /** Two fifths of all. */
        CLIENTS(0),
        /** What is left: calls and the connections kept for more. */
        HOSTS(0);

        private final int reserved;

        Owner(int wanted) {
            this.reserved = wanted;
        }
    }

    private final int[] shares = new int[Owner.values().length];
    private final int[] inUse = new int[Owner.values().length];

    /** {@code all}: descriptors that the process may have open. */
    public DescriptorBudget(int all) {
        int wanted =
                Arrays.stream(Owner.values()).mapToInt(owner -> owner.reserved).sum();
        int left = all;
        for (Owner owner : Owner.values()) {
            int share = wanted <= all / 2 ? owner.reserved : owner.reserved * (all / 2) / wanted;
            shares[owner.ordinal()] =
                    owner == Owner.CLIENTS ? Math.min(all * 2 / 5, left * 4 / 5) : owner == Owner.HOSTS ? left : share;
            left -= shares[owner.ordinal()];
        }
    }

    /** How many an owner may have. */
    public int share(Owner owner) {
        return shares[owner.ordinal()];
    }

    /** How many it has. */
    public int inUse(Owner owner) {
        return inUse[owner.ordinal()];
    }

    /** One more, if its share has one left. */
    public boolean acquire(Owner owner) {
        boolean left = inUse(owner) < share(owner);
        inUse[owner.ordinal()] += left ? 1 : 0;
        return left;
    }

    /** One that was taken is closed. */
    public void release(Owner owner) {
        if (inUse(owner) == 0) {
            throw new IllegalStateException(owner + " gives back what it has not taken");
        }
        inUse[owner.ordinal()]--;
    }

    @Override
    public String toString() {
        return "hosts hold " + inUse(Owner.HOSTS) + " of " + share(Owner.HOSTS) + ", clients may have "
                + share(Owner.CLIENTS);
    }
}
