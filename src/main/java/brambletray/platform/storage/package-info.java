/**
 * Durable key-value storage of one process, based on Xodus. Each commit contains a checksum of the entire store, so
 * that a commit torn by a loss of power is detected and truncated. A dedicated thread writes, so that a hanging disk
 * does not block the event loop.
 */
package brambletray.platform.storage;
