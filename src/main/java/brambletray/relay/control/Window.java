package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Dest;

/** The window of calls in flight to one destination, copies included. */
record Window(Settings set) {
    /** Share of the slots that one destination's window may reach. */
    private static final double WINDOW_SHARE = 0.75;
    /** The same while the destination fails or is slow. */
    private static final double WINDOW_POOR = 0.3;

    /** Calls that a destination may have out: its window, under a cap lower while failing or slow. */
    int room(Dest d) {
        boolean poor = AnswerTimes.slow(d) || 2 * d.overdue > d.calls || !d.sound();
        // Guards the slots against places that take calls and do not answer, before a time-out tells.
        double cap = (poor ? WINDOW_POOR : WINDOW_SHARE) * set.allowed().slots();
        return (int) Math.max(1, Math.min(d.window, cap));
    }

    void grow(Dest d) {
        d.window =
                Math.min(d.window + 1, Math.max(1, WINDOW_SHARE * set.allowed().slots()));
    }

    static void halve(Dest d) {
        d.window = Math.max(1, d.window / 2);
    }
}
