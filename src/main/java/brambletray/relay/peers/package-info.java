/**
 * Relays that know each other: notes by datagram, each with a keyed hash, that say how far each has come, and
 * what the others answer one that starts. Off unless a relay's file names its siblings.
 */
package brambletray.relay.peers;
