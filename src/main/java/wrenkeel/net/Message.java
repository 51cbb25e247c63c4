package wrenkeel.net;

/**
 * One message as its client handed it in. {@code deadline}: Unix time, ms; keys are null where there are
 * none.
 */
record Message(String id, String messageClass, int tenant, String routeKey, String idempotencyKey,
                      long destination, long deadline, byte[] body) { }
