package brambletray.message;

import java.util.Objects;

/**
 * One message as its client handed it in. {@code deadline}: Unix time, ms; keys are null where there are
 * none.
 */
public record Message(String id, String messageClass, int tenant, String routeKey, String idempotencyKey,
                             long destination, long deadline, Body body) {
    /** True when the other is this message once more; its time may have been told anew. */
    public boolean sameAs(Message other) {
        return id.equals(other.id) && messageClass.equals(other.messageClass)
            && destination == other.destination && Objects.equals(idempotencyKey, other.idempotencyKey)
            && Body.same(body, other.body);
    }

    /** The same message with its bytes elsewhere. */
    public Message with(Body elsewhere) {
        return new Message(id, messageClass, tenant, routeKey, idempotencyKey, destination, deadline,
            elsewhere);
    }
}
