package brambletray.platform.provisioning;

import brambletray.platform.errors.PlatformException;

/**
 * An error of this package; {@code provisioning.platform-answer}: the platform's response is not as the protocol
 * says.
 */
public final class ProvisioningException extends PlatformException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a code that begins with {@code provisioning.}; {@code cause} may be null. */
    public ProvisioningException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
