/** MQTT towards partners: connections, publications and their answers (docs/mqtt.md). */
package brambletray.relay.mqtt.hosts;
