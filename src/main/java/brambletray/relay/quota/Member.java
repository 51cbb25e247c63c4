package brambletray.relay.quota;

import java.util.List;
import java.util.Map;

/**
 * One node of the tree as its file has it: an installation, an organisation, a partner, a class.
 *
 * @param name within its parent; {@code path}: names from the root down, with '/' between
 * @param limits which hold over every window of their length, whatever is lent
 * @param held messages held at once at most; {@link Long#MAX_VALUE} for any number
 * @param guaranteed by dimension, what it gets of its parent each second as soon as it asks
 * @param weight of its part in what is lent, among its siblings
 * @param priority those of a higher one are lent to first
 * @param lends whether siblings may use what it leaves idle
 * @param match which messages are its own
 */
public record Member(
        String name,
        String path,
        List<Limit> limits,
        long held,
        Map<Dimension, Long> guaranteed,
        long guaranteedHeld,
        int weight,
        int priority,
        boolean lends,
        Match match,
        List<Member> members) {
    /** What is counted over windows. */
    public enum Dimension {
        MESSAGES,
        BYTES
    }

    /** At most so much in every window of a length in us. */
    public record Limit(Dimension dimension, long window, long amount) {}

    /** Messages that fit in all that is named; null and empty for any. */
    public record Match(String tenant, String messageClass, List<Long> destinations) {
        public static final Match ANY = new Match(null, null, List.of());

        public boolean fits(Asked asked) {
            return (tenant == null || tenant.equals(asked.tenant()))
                    && (messageClass == null || messageClass.equals(asked.messageClass()))
                    && (destinations.isEmpty() || destinations.contains(asked.destination()));
        }
    }

    /** A message that asks to be taken on. */
    public record Asked(String id, String tenant, String messageClass, long destination, long bytes) {}

    /** What one second may bring at most by its limits; {@link Long#MAX_VALUE} without any. */
    public long aSecond(Dimension dimension) {
        long least = Long.MAX_VALUE;
        for (Limit limit : limits) {
            if (limit.dimension() == dimension) {
                least = Math.min(least, Math.max(1, (long) (limit.amount() * (1e6 / limit.window()))));
            }
        }
        return least;
    }

    /** This relay's part of all that is counted, of so many relays that share it alike. */
    public Member part(int rank, int relays) {
        if (relays == 1) {
            return this;
        }
        Map<Dimension, Long> own = new java.util.EnumMap<>(Dimension.class);
        guaranteed.forEach((dimension, amount) -> own.put(dimension, part(amount, rank, relays)));
        return new Member(
                name,
                path,
                limits.stream()
                        .map(limit -> new Limit(limit.dimension(), limit.window(), part(limit.amount(), rank, relays)))
                        .toList(),
                part(held, rank, relays),
                own,
                part(guaranteedHeld, rank, relays),
                weight,
                priority,
                lends,
                match,
                members.stream().map(member -> member.part(rank, relays)).toList());
    }

    /** Parts of all ranks add up to the whole, and no more. */
    private static long part(long amount, int rank, int relays) {
        return amount == Long.MAX_VALUE ? amount : amount / relays + (rank < amount % relays ? 1 : 0);
    }
}
