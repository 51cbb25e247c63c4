package brambletray.relay.control;

import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Destination;

/** Limit of the calls in flight to one destination, hedges included: additive increase, multiplicative decrease. */
record ConcurrencyWindow(Settings settings) {
    /** Share of the slots that one destination may use. */
    private static final double MAX_SLOT_SHARE = 0.75;
    /** The same while the destination fails or is slow. */
    private static final double MAX_SLOT_SHARE_UNHEALTHY = 0.3;

    /** Calls that a destination may have in flight: its window, capped by a share of the slots. */
    int capacity(Destination destination) {
        boolean degraded = AnswerTimes.isSlow(destination)
                || 2 * destination.overdueAttempts > destination.callsInFlight
                || !destination.hasHealthyEndpoint();
        // The lower cap leaves slots to others before calls to an unresponsive host have timed out.
        double cap = (degraded ? MAX_SLOT_SHARE_UNHEALTHY : MAX_SLOT_SHARE)
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
