/** JSON with typed fields, addresses and the relay's settings. */
package brambletray.relay.wire;
