/**
 * Durable keys and values of one process, in Xodus. Each commit carries a checksum of the store, so that a commit
 * torn by a loss of power is found and cut off. A thread of its own writes, so that a disk that hangs blocks nobody
 * else.
 */
package brambletray.platform.storage;
