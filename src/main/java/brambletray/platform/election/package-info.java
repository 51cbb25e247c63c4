/**
 * Leases on a duty, elected among the members of the view in force, under terms that only grow. Pure state machines; one
 * thread.
 */
package brambletray.platform.election;
