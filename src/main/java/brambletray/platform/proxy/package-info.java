/**
 * The reverse proxy of an edge. {@link brambletray.platform.proxy.FrontEndServer} accepts client connections;
 * {@code ClientConnection} reads one request at a time from each.
 * {@link brambletray.platform.proxy.RequestRouter} finds the route and starts a {@code RequestLifecycle}, which models
 * one request as a state machine without I/O, with {@code Attempts} for the hosts that it is sent to. A
 * {@code RequestDriver} carries out its actions on the client connection, on the
 * {@link brambletray.platform.proxy.SlotBroker} that grants slots, and on the
 * {@link brambletray.platform.proxy.HostConnectionPools}. There, a {@code HostConnectionPool} belongs to one host, a
 * {@code HostConnection} is one connection, a {@code ResponseReader} follows one response as it arrives, and a
 * {@code ResponseVerdict} classifies its head.
 *
 * <p>Everything runs on one event loop thread; nothing here may be called from another thread.
 */
package brambletray.platform.proxy;
