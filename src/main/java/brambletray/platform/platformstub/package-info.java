/**
 * A stand-in of the platform: workers, instances that boot and end, lists that lag, rate limits, nonces. A pure state
 * machine for simulated time, and a listener around it for a local system. Not used in production.
 */
package brambletray.platform.platformstub;
