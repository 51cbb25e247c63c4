package brambletray.relay.emulator;

/**
 * How many calls a partner, or one of its routes, lets in; {@code refusedUse}: refused calls use it up too.
 */
public sealed interface Limit {
    /** Calls a second on average; 0 where there is no limit. */
    double perSecond();

    boolean refusedUse();

    /** No limit. */
    record None() implements Limit {
        @Override
        public double perSecond() {
            return 0;
        }

        @Override
        public boolean refusedUse() {
            return false;
        }
    }

    /** A plain rate: over any window of t seconds at most {@code burst + perSecond * t} calls. */
    record Rate(double perSecond, double burst, boolean refusedUse) implements Limit {}

    /**
     * At most {@code count} calls in each span; spans follow one another from time 0 on; {@code span} in
     * ns.
     */
    record Span(int count, long span, boolean refusedUse) implements Limit {
        @Override
        public double perSecond() {
            return count * 1e9 / span;
        }
    }
}
