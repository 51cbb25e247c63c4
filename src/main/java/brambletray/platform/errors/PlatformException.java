package brambletray.platform.errors;

/**
 * What went wrong in one of the planes. Unchecked, with a code that log lines and answers carry; each plane has its own
 * subclass and turns the faults of those below into it.
 */
public abstract class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String code;

    /** {@code code}: package, a dot, and the error in lower case, as in {@code configuration.unknown-service}. */
    protected PlatformException(String code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** The code: package and fault, as in {@code storage.full}. */
    public final String code() {
        return code;
    }
}
