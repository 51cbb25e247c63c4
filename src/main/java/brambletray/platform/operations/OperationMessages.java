package brambletray.platform.operations;

import java.util.List;

/** The frames of this package, in the order in which Kryo registers them. */
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
