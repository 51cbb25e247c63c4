package brambletray.relay.message;

import java.util.Objects;

/**
 * A message as its client submitted it. {@code deadline}: Unix time, ms. Absent keys are null; {@code origin} is null
 * where only the platform is notified of the message's end.
 */
public record Message(
        String id,
        String messageClass,
        int tenant,
        String routeKey,
        String idempotencyKey,
        long destination,
        long deadline,
        Body body,
        Origin origin) {
    /** Creates a message without an origin: only the platform is notified of the message's end. */
    public Message(
            String id,
            String messageClass,
            int tenant,
            String routeKey,
            String idempotencyKey,
            long destination,
            long deadline,
            Body body) {
        this(id, messageClass, tenant, routeKey, idempotencyKey, destination, deadline, body, null);
    }

    /** Whether {@code other} is a resubmission of this message; the deadline of a resubmission may differ. */
    public boolean sameAs(Message other) {
        return id.equals(other.id)
                && messageClass.equals(other.messageClass)
                && destination == other.destination
                && Objects.equals(idempotencyKey, other.idempotencyKey)
                && Body.same(body, other.body);
    }

    /** The same message with another body instance. */
    public Message withBody(Body newBody) {
        return new Message(id, messageClass, tenant, routeKey, idempotencyKey, destination, deadline, newBody, origin);
    }
}
