/** The door of a relay with quotas: their file, what of them lasts, the live view. Off unless configured. */
package brambletray.relay.admission;
