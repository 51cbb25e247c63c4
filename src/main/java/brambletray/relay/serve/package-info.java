/** One real relay: configuration, warm-up, start, reload and orderly shutdown. */
package brambletray.relay.serve;
