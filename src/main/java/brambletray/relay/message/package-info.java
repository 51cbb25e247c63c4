/** A message as its client submitted it. */
package brambletray.relay.message;
