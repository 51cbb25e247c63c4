/**
 * The operators' configuration: routes, services and limits, read and checked, changed by entry in rising revisions.
 * Also the replicated state machine that applies changes at each member of the core, and the deltas by which edges
 * follow.
 */
package brambletray.platform.configuration;
