package brambletray.platform.quota;

import java.util.List;

/** The frames of this package, in the order in which Kryo registers them. */
public final class QuotaMessages {
    public static final List<Class<?>> ALL =
            List.of(QuotaRequest.class, QuotaGrant.class, QuotaRefusal.class, QuotaDebit.class, QuotaReturn.class);

    private QuotaMessages() {}
}
