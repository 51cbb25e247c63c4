/**
 * Drills: the programs of the core and of edges, whole, on simulated machines in simulated time, under faults that are
 * drawn from a seed, judged
 * by what operators were answered and what edges serve by. One course runs on one thread; the same seed is the same
 * course, byte for byte.
 * {@link brambletray.platform.drill.DrillRunner} plays many courses, {@link brambletray.platform.drill.ScenarioReplay}
 * one with its timeline. For
 * engineers; nothing in production loads this package.
 */
package brambletray.platform.drill;
