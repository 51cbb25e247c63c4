/**
 * Leases on singleton roles, elected among the members of the active view, under terms that only grow. Pure state
 * machines; one thread.
 */
package brambletray.platform.election;
