package brambletray.tray.speech;

import brambletray.tray.fault.Fault;

/**
 * A frame that cannot be written or read: {@code speech.frame-too-long}, {@code speech.unreadable},
 * {@code speech.unwritable}.
 */
public final class SpeechFault extends Fault {
    private static final long serialVersionUID = 1L;

    SpeechFault(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
