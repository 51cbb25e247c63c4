/**
 * Forwarding of requests at an edge. {@link brambletray.platform.proxy.FrontEndServer} accepts clients' connections;
 * {@code ClientConnection} reads one request at a time from each.
 * {@link brambletray.platform.proxy.RequestRouter} finds the route and starts a {@code RequestLifecycle}: one request
 * as a pure state machine, with {@code Attempts} for the hosts that it is sent to. A {@code RequestDriver} runs its
 * actions between the client, the {@link brambletray.platform.proxy.SlotBroker} that grants slots, and the
 * {@link brambletray.platform.proxy.HostConnectionPools}. Of those, a {@code HostConnectionPool} belongs to one host, a
 * {@code HostConnection} is one connection, a {@code ResponseReader} follows one response as it arrives, and a
 * {@code ResponseVerdict} says what its head means.
 *
 * <p>One event loop thread; nothing here is called from another.
 */
package brambletray.platform.proxy;
