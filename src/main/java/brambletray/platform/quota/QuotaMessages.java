package brambletray.platform.quota;

import java.util.List;

/** The message types of this package, in Kryo registration order. */
public final class QuotaMessages {
    public static final List<Class<?>> ALL =
            List.of(QuotaRequest.class, QuotaGrant.class, QuotaRefusal.class, QuotaDebit.class, QuotaReturn.class);

    private QuotaMessages() {}
}
