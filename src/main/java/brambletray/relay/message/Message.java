package brambletray.relay.message;

import java.util.Objects;

/**
 * One message as its client handed it in. {@code deadline}: Unix time, ms; keys are null where there are
 * none, {@code origin} where its end is told to nobody but the platform.
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
    /** A message whose end is told by the platform's notices alone. */
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

    /** True when the other is this message once more; its time may have been told anew. */
    public boolean sameAs(Message other) {
        return id.equals(other.id)
                && messageClass.equals(other.messageClass)
                && destination == other.destination
                && Objects.equals(idempotencyKey, other.idempotencyKey)
                && Body.same(body, other.body);
    }

    /** The same message with its bytes elsewhere. */
    public Message withBody(Body elsewhere) {
        return new Message(
                id, messageClass, tenant, routeKey, idempotencyKey, destination, deadline, elsewhere, origin);
    }
}
