/**
 * Failure detection among edges: each edge sends heartbeats to a few others on a ring, which report missing heartbeats
 * to the coordinator. Also the coordinator's roster of live edges, and the assignment of services to edges by
 * rendezvous hashing. Does no I/O: the time is passed in, and messages are returned through callbacks.
 */
package brambletray.platform.failuredetection;
