package brambletray.mqtt.hosts;

import brambletray.control.Relay.Outcome;

/**
 * What the reason codes of a partner's MQTT 5 server mean for a call (MQTT 5.0, sections 3.2, 3.4, 3.5,
 * 3.14).
 */
final class MqttOutcomes {
    static final int QUOTA_EXCEEDED = 0x97, SERVER_BUSY = 0x89, SERVER_UNAVAILABLE = 0x88, RATE_EXCEEDED =
        0x9F,
        RECEIVE_MAXIMUM_EXCEEDED = 0x93, ID_IN_USE = 0x91;

    private MqttOutcomes() { }

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

    /** Of a CONNACK that refuses: nothing was sent. */
    static Outcome refused(int reason) {
        return switch (reason) {
            case QUOTA_EXCEEDED, SERVER_BUSY, SERVER_UNAVAILABLE, RATE_EXCEEDED -> Outcome.FULL;
            default -> Outcome.CONNECT_FAILED;
        };
    }
}
