package brambletray.tray.berth;

import brambletray.tray.fault.Fault;

/**
 * The settings file can't be used: one line with file, line, field and what was expected. Programs print it and end
 * with {@link #EXIT}.
 */
public final class BerthFault extends Fault {
    private static final long serialVersionUID = 1L;

    /** Exit code of a program whose settings can't be used. */
    public static final int EXIT = 2;

    BerthFault(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
