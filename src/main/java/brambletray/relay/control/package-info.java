/**
 * The relay's decisions as a pure module: events in, actions out; it reads no clock, socket or file
 * (docs/design.md).
 */
package brambletray.relay.control;
