/**
 * The program of an edge machine: connects proxy, admission and failure detection to sockets, and follows the
 * coordinator.
 */
package brambletray.platform.edge;
