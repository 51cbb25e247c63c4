package brambletray.platform.admission;

import java.util.List;

/** The message types of admission, in the order of their Kryo registration, which the wire format depends on. */
public final class AdmissionMessages {
    public static final List<Class<?>> ALL = List.of(
            SlotRequest.class,
            SlotGrant.class,
            SlotRefusal.class,
            SlotRedirect.class,
            SlotRelease.class,
            AttemptOutcome.class,
            HeldSlots.class,
            SlotRequestCancel.class,
            SlotOwner.class);

    private AdmissionMessages() {}
}
