/**
 * The operators' configuration: routes, services, tenants and limits, parsed, validated and modified entry by entry
 * with increasing revisions. Also contains the replicated state machine that applies changes at each core member, and
 * the deltas that keep edges up to date.
 */
package brambletray.platform.configuration;
