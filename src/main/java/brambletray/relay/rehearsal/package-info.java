/**
 * Nights like month-end's against whole relays in simulated time: what goes wrong and when, judges that
 * believe nothing that a relay says of itself, and a verdict that is the same every time.
 */
package brambletray.relay.rehearsal;
