/** Instants that can be compared across restarts of a process. Pure. */
package brambletray.common.time;
