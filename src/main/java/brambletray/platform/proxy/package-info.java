/**
 * Requests through an edge. {@link brambletray.platform.proxy.FrontEndServer} takes clients' connections ({@code
 * ClientConnection}, one request
 * at a time), {@link brambletray.platform.proxy.RequestRouter} finds the route and starts a {@code RequestLifecycle}:
 * one request's life as a
 * pure state machine, with {@code Attempts} for the hosts that it goes to. A {@code RequestDriver} carries out what the
 * trip
 * wants, between the client, the {@link brambletray.platform.proxy.SlotBroker} of places and the
 * {@link brambletray.platform.proxy.HostConnectionPools} to hosts ({@code HostConnectionPool}: one host's, {@code
 * HostConnection}: one connection,
 * {@code ResponseReader}: one answer as it comes, {@code ResponseVerdict}: what its head says).
 *
 * <p>One event loop thread; nothing here is called from another.
 */
package brambletray.platform.proxy;
