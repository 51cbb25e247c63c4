package brambletray.platform.admission;

import java.util.List;

/** The plane's frames, in the order in which Kryo registers them. */
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
