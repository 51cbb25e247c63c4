/** MQTT towards clients: sessions, subscriptions and acknowledgements (docs/mqtt.md). */
package brambletray.mqtt.clients;
