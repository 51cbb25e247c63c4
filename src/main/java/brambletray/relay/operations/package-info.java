/** What operators ask of a running relay, as pure state: its drain, and the hosts taken out by hand. */
package brambletray.relay.operations;
