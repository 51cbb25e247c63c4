/** What a relay owes, written and read through the embedded store. */
package brambletray.relay.journal;
