package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Destination;

/** The window of calls in flight to one destination, hedges included. */
record ConcurrencyWindow(Settings settings) {
    /** Share of the slots that one destination's window may reach. */
    private static final double MAX_SLOT_SHARE = 0.75;
    /** The same while the destination fails or is slow. */
    private static final double MAX_SLOT_SHARE_UNHEALTHY = 0.3;

    /** Calls that a destination may have out: its window, under a cap lower while failing or slow. */
    int capacity(Destination destination) {
        boolean poor = AnswerTimes.isSlow(destination)
                || 2 * destination.overdueAttempts > destination.callsInFlight
                || !destination.hasHealthyEndpoint();
        // Guards the slots against hosts that take calls and do not answer, before a time-out tells.
        double cap = (poor ? MAX_SLOT_SHARE_UNHEALTHY : MAX_SLOT_SHARE)
                * settings.allowed().slots();
        return (int) Math.max(1, Math.min(destination.window, cap));
    }

    void grow(Destination destination) {
        destination.window = Math.min(
                destination.window + 1,
                Math.max(1, MAX_SLOT_SHARE * settings.allowed().slots()));
    }

    static void halve(Destination destination) {
        destination.window = Math.max(1, destination.window / 2);
    }
}
