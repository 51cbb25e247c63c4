/**
 * How configurations and rosters reach edges, and the frames that the system's processes exchange for it.
 */
package brambletray.platform.distribution;
