/** What edges and core members exchange besides the replicated log: status, pulses and configurations. */
package brambletray.platform.distribution;
