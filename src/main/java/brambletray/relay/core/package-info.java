/** The event loop around the decision module: turns what happens into events and carries out actions in order. */
package brambletray.relay.core;
