package brambletray.platform.configuration;

import brambletray.platform.errors.PlatformException;

/** Invalid configuration, change, delta or snapshot. Callers answer with 400, the code and the message. */
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

    /** The path of the field, such as {@code routes[r-1].timeout-ms}; empty for the body itself. */
    public String field() {
        return field;
    }
}
