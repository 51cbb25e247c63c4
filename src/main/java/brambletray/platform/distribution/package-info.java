/**
 * Distribution of configurations and rosters to edges, and the messages that the processes exchange for it.
 */
package brambletray.platform.distribution;
