/** Emulated partners and the platform's agent over HTTP and MQTT, on real or simulated sockets. */
package brambletray.relay.partners;
