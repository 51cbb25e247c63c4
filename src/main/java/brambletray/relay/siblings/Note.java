package brambletray.relay.siblings;

import brambletray.relay.recovery.Account;
import brambletray.relay.recovery.Standing;

/** One note between relays. */
sealed interface Note {
    /** Who sends it. */
    String from();

    /** Its sender lives and has come so far; {@code beats} counts those of this life. */
    record Beat(String from, Standing standing, long beats) implements Note {}

    /** Its sender starts and asks what is known of it. */
    record Ask(String from, long nonce) implements Note {}

    /** The answer to the question of that nonce. */
    record Tell(String from, long nonce, Account account) implements Note {}
}
