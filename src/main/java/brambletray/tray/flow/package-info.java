/**
 * Requests through an edge. {@link brambletray.tray.flow.Front} takes clients' connections ({@code Client}, one request
 * at a time), {@link brambletray.tray.flow.Flow} finds the route and starts a {@code Trip}: one request's life as a
 * pure state machine, with {@code Legs} for the hosts that it goes to. A {@code Carriage} carries out what the trip
 * wants, between the client, the {@link brambletray.tray.flow.Broker} of places and the
 * {@link brambletray.tray.flow.Lines} to hosts ({@code HostPool}: one host's, {@code HostConnection}: one connection,
 * {@code Reading}: one answer as it comes, {@code Verdict}: what its head says).
 *
 * <p>One event loop thread; nothing here is called from another.
 */
package brambletray.tray.flow;
