package brambletray.relay.message;

/**
 * Where the end of a message is to be told besides the platform's notice: a client of a protocol that keeps
 * sessions, a topic and what the client correlates its answer by (no bytes for nothing).
 */
public record Origin(String client, String topic, byte[] correlation) {}
