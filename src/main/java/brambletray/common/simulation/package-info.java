/** Machines, network and time simulated on one thread, deterministic for a seed. */
package brambletray.common.simulation;
