/**
 * Relays that know each other: messages by datagram, each with a keyed hash, that say how far each has come, and
 * what the others answer one that starts. Off unless a relay's file names its peers.
 */
package brambletray.relay.peers;
