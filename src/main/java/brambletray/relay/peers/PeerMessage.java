package brambletray.relay.peers;

import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;

/** One message between relays. */
sealed interface PeerMessage {
    /** Who sends it. */
    String from();

    /** Its sender is running and has come so far; {@code sequence} counts the heartbeats of this incarnation. */
    record Heartbeat(String from, StoreFreshness freshness, long sequence) implements PeerMessage {}

    /** Its sender starts and asks what is known of it. */
    record WitnessRequest(String from, long nonce) implements PeerMessage {}

    /** The answer to the question of that nonce. */
    record WitnessResponse(String from, long nonce, WitnessReport report) implements PeerMessage {}
}
