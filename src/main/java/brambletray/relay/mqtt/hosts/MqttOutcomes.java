package brambletray.relay.mqtt.hosts;

import brambletray.relay.control.Relay.Outcome;

/**
 * What the reason codes of a partner's MQTT 5 server mean for a call (MQTT 5.0, sections 3.2, 3.4, 3.5,
 * 3.14).
 */
final class MqttOutcomes {
    static final int QUOTA_EXCEEDED = 0x97;
    static final int SERVER_BUSY = 0x89;
    static final int SERVER_UNAVAILABLE = 0x88;
    static final int RATE_EXCEEDED = 0x9F;
    static final int RECEIVE_MAXIMUM_EXCEEDED = 0x93;
    static final int SHUTTING_DOWN = 0x8B;
    static final int USE_ANOTHER = 0x9C;
    static final int MOVED = 0x9D;
    static final int ID_NOT_FOUND = 0x92;
    static final int UNAVAILABLE_3 = 3;

    private MqttOutcomes() {}

    /**
     * Of a PUBACK or PUBREC. Below 0x80 it was accepted. What says that it was turned away for want of room
     * never ran; any other refusal may have, for partners use the general codes after they acted too.
     */
    static Outcome published(int reason) {
        if (reason < 0x80) {
            return Outcome.OK;
        }
        return switch (reason) {
            case QUOTA_EXCEEDED, SERVER_BUSY, RATE_EXCEEDED, RECEIVE_MAXIMUM_EXCEEDED -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
    }

    /** Of a DISCONNECT, for calls of which nothing was sent. */
    static Outcome disconnected(int reason) {
        return leaves(reason) || reason == QUOTA_EXCEEDED || reason == SERVER_BUSY || reason == RATE_EXCEEDED
                ? Outcome.FULL
                : Outcome.CONNECT_RESET;
    }

    /** True where a DISCONNECT says that the server goes: nothing new for it for a while. */
    static boolean leaves(int reason) {
        return reason == SHUTTING_DOWN || reason == USE_ANOTHER || reason == MOVED;
    }

    /** Of a CONNACK that refuses, 3.1.1's return codes among them (3.2.2.3): nothing was sent. */
    static Outcome refused(int reason) {
        return switch (reason) {
            case QUOTA_EXCEEDED, SERVER_BUSY, SERVER_UNAVAILABLE, RATE_EXCEEDED, USE_ANOTHER, MOVED, UNAVAILABLE_3 ->
                Outcome.FULL;
            default -> Outcome.CONNECT_FAILED;
        };
    }
}
