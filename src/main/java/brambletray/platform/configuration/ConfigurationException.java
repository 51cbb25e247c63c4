package brambletray.platform.configuration;

import brambletray.platform.errors.PlatformException;

/** A configuration, a change of it or a stored one can't be taken; callers answer 400 with code and message. */
public final class ConfigurationException extends PlatformException {
    private static final long serialVersionUID = 1L;

    private final String field;

    ConfigurationException(String code, String field, String reason, Throwable cause) {
        super("configuration." + code, field.isEmpty() ? reason : field + ": " + reason, cause);
        this.field = field;
    }

    ConfigurationException(String code, String field, String reason) {
        this(code, field, reason, null);
    }

    /** The field, as in {@code routes[r-1].timeout-ms}; empty for the body. */
    public String field() {
        return field;
    }
}
