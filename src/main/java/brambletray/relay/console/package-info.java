/** The operators' address: one call a connection, answered ahead of anything that clients can do to it. */
package brambletray.relay.console;
