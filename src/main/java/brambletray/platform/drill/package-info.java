/**
 * Fault drills: the complete programs of the control plane and of edges on simulated machines in simulated time,
 * under faults drawn from a seed, checked by what operators were answered and what edges serve. One scenario runs on
 * one thread; the same seed gives the same scenario, byte for byte. {@link brambletray.platform.drill.DrillRunner}
 * plays many scenarios, {@link brambletray.platform.drill.ScenarioReplay} one with its timeline. For engineers;
 * nothing in production loads this package.
 */
package brambletray.platform.drill;
