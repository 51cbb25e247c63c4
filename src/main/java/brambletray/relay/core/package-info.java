/** The event dispatcher around the control module: collects events, runs turns and executes actions in order. */
package brambletray.relay.core;
