/**
 * Links between the system's processes: typed frames, written with Kryo, over TCP. Frames that are sent in one turn
 * of the event loop leave in one write.
 */
package brambletray.platform.transport;
