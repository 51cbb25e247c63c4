/**
 * Failure detection among edges: each edge sends heartbeats to a few others on a ring, which report to the coordinator
 * whom they miss. Also the coordinator's roster of live edges, and the assignment of services to edges by rendezvous
 * hashing. Pure: time comes in as an argument, messages go out.
 */
package brambletray.platform.failuredetection;
