package brambletray.message;

import java.util.Arrays;
import java.util.Objects;

/**
 * One message as its client handed it in. {@code deadline}: Unix time, ms; keys are null where there are
 * none.
 */
public record Message(String id, String messageClass, int tenant, String routeKey, String idempotencyKey,
                             long destination, long deadline, byte[] body) {
    /** True when the other is this message once more; its time may have been told anew. */
    public boolean sameAs(Message other) {
        return id.equals(other.id) && messageClass.equals(other.messageClass)
            && destination == other.destination && Objects.equals(idempotencyKey, other.idempotencyKey)
            && Arrays.equals(body, other.body);
    }
}
