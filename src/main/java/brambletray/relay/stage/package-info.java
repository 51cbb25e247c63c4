/** Relays, partners, agents and clients of one script, run and scored in real or simulated time. */
package brambletray.relay.stage;
