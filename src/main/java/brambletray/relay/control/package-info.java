/**
 * The relay's scheduling decisions as a deterministic state machine: events in, actions out, with no access to clock,
 * network or files (docs/design.md).
 */
package brambletray.relay.control;
