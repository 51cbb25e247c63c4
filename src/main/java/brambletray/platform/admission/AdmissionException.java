package brambletray.platform.admission;

import brambletray.platform.errors.PlatformException;

/** Thrown for invalid input to admission; codes {@code admission.*}. */
public final class AdmissionException extends PlatformException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a code that begins with {@code admission.}; {@code cause} may be null. */
    public AdmissionException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
