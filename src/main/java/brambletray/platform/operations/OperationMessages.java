package brambletray.platform.operations;

import java.util.List;

/** The message types of this package, in Kryo registration order. */
public final class OperationMessages {
    public static final List<Class<?>> ALL = List.of(
            ClaimRequest.class,
            ClaimGranted.class,
            ClaimHeld.class,
            ClaimUnavailable.class,
            ClaimRelease.class,
            ClaimReleased.class,
            ResultQuery.class,
            OperationState.class,
            ResultResponse.class);

    private OperationMessages() {}
}
