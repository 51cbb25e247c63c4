package brambletray.relay.peers;

import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;

/** One note between relays. */
sealed interface PeerMessage {
    /** Who sends it. */
    String from();

    /** Its sender lives and has come so far; {@code beats} counts those of this life. */
    record Beat(String from, StoreFreshness standing, long beats) implements PeerMessage {}

    /** Its sender starts and asks what is known of it. */
    record Ask(String from, long nonce) implements PeerMessage {}

    /** The answer to the question of that nonce. */
    record Tell(String from, long nonce, WitnessReport account) implements PeerMessage {}
}
