package brambletray.platform.election;

import brambletray.platform.errors.PlatformException;

/** The stored lease grant has an unsupported format version ({@code election.form}). */
public final class ElectionException extends PlatformException {
    private static final long serialVersionUID = 1L;

    ElectionException(String code, String message) {
        super(code, message, null);
    }
}
