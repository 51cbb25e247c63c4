package brambletray.platform.drill;

import java.util.Arrays;
import java.util.Locale;

/**
 * One trouble of a course.
 *
 * @param atMs   ms since the start of the course
 * @param target  whom it meets, found when it begins
 * @param durationMs ms until it ends, or until the machine is back
 * @param argument  drawn: further choices within the kind
 */
record Fault(Kind kind, int atMs, Target target, int durationMs, int argument) {
    private static final int ARGUMENT_MOST = (1 << 20) - 1;

    enum Target {
        LEADER,
        COORDINATOR,
        ANY
    }

    /** {@code counted}: a core machine counts as lost while it lasts. */
    enum Kind {
        /** Cut off from the rest of the core, both ways; operators and edges still reach it. */
        CUT_CORE(true),
        /** Cut off from the core, all operators and a part of the edges. */
        CUT_ALL(true),
        /** Nothing of it reaches the rest of the core. */
        CUT_OUT(true),
        /** Nothing of the rest of the core reaches it. */
        CUT_IN(true),
        /** The process dies, and comes back. */
        KILL(true),
        /** So does the machine, without a word. */
        POWER(true),
        /** The machine comes back with an empty disk. */
        WIPE(true),
        /** Gone for good; another comes at another address with an empty disk. */
        REPLACE(true),
        /** The other comes first; then SIGTERM, and after the grace the end. */
        REPLACE_PLANNED(true),
        /** SIGTERM, the end after the grace, and back with its disk. */
        LEAVE(true),
        FREEZE(true),
        /** All its connections are reset. */
        RESET(true),
        /** Its links to the core, or to edges and operators too, take hundreds of ms longer. */
        SLOW_LINK(true),
        SLOW_DISK(true),
        HUNG_DISK(true),
        FULL_DISK(true),
        /** Right after the next acknowledgement who gave it dies. */
        AFTER_ACK_KILL(true),
        /** And its disk is lost. */
        AFTER_ACK_WIPE(true),
        /**
         * Right after the next acknowledgement all machines lose power, some their disks as well, as many as may be
         * lost.
         */
        AFTER_ACK_ALL(true),
        /** All processes, or all machines, at once; some with the loss of as many disks as may be lost. */
        ALL_KILL(true),
        ALL_POWER(true),
        /** An edge starts anew. */
        EDGE_KILL(false),
        EDGE_FREEZE(false),
        /** An edge is cut off from one machine of the core. */
        EDGE_CUT(false),
        /** Operators reach a machine of the core, and hear nothing of it. */
        ANSWERS_LOST(false),
        /** Hundreds of changes, one after the other. */
        BURST(false);

        final boolean counted;

        Kind(boolean counted) {
            this.counted = counted;
        }

        boolean all() {
            return this == ALL_KILL || this == ALL_POWER || this == AFTER_ACK_ALL;
        }
    }

    Fault beginning(int ms) {
        return new Fault(kind, ms, target, durationMs, argument);
    }

    @Override
    public String toString() {
        return kind + ":" + atMs + ":" + target + ":" + durationMs + ":" + argument;
    }

    /** Reads KIND:AT-MS:WHO:SPAN-MS:ARGUMENT; {@link InvalidDrillException} where it is none. */
    static Fault parse(String text) {
        String[] part = text.trim().toUpperCase(Locale.ROOT).split(":");
        if (part.length != 5) {
            throw new InvalidDrillException(
                    "course: trouble: expected KIND:AT-MS:WHO:SPAN-MS:ARGUMENT, found '" + text + "'");
        }
        return new Fault(
                named("kind", part[0], Kind.values()),
                ScenarioScript.number("at", part[1], 0, ScenarioScript.END_MOST),
                named("who", part[2], Target.values()),
                ScenarioScript.number("span", part[3], 0, ScenarioScript.END_MOST),
                ScenarioScript.number("argument", part[4], 0, ARGUMENT_MOST));
    }

    private static <T extends Enum<T>> T named(String field, String text, T[] values) {
        for (T value : values) {
            if (value.name().equals(text)) {
                return value;
            }
        }
        throw new InvalidDrillException("course: trouble: " + field + ": expected one of " + Arrays.toString(values)
                + ", found '" + text + "'");
    }
}
