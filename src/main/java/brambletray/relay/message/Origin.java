package brambletray.relay.message;

/**
 * Where to report the end of a message in addition to the platform's notice: a client of a protocol with sessions, a
 * response topic and the client's correlation data (empty if there is none).
 */
public record Origin(String client, String topic, byte[] correlation) {}
