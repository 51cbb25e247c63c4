/** MQTT towards clients: sessions, subscriptions and acknowledgements (docs/mqtt.md). */
package brambletray.relay.mqtt.clients;
