package brambletray.platform.admission;

/**
 * Generates the nonces of instance starts, unique by a prefix (node and incarnation, passed in) and a counter. At most
 * 64 bytes long, as the platform requires.
 */
final class StartNonces {
    private final String prefix;
    private long counter;

    StartNonces(String prefix) {
        if (prefix.length() > 48) {
            throw new AdmissionException("admission.nonce", "nonce prefix longer than 48 characters: " + prefix, null);
        }
        this.prefix = prefix;
    }

    String next() {
        return prefix + '-' + Long.toString(++counter, 36);
    }
}
