/**
 * A stand-in of the platform: workers, hosts that boot and end, lists that lag, rates, nonces. A pure state machine,
 * for drawn timelines and simulated time, and behind a listener for a laptop. Nothing in production leans on it.
 */
package brambletray.platform.platformstub;
