package brambletray.platform.admission;

/**
 * Nonces of starts, unique by their prefix (node and incarnation, given from outside) and a counter. At most 64
 * bytes, as the platform requires.
 */
final class StartNonces {
    private final String prefix;
    private long counter;

    StartNonces(String prefix) {
        if (prefix.length() > 48) {
            throw new AdmissionException(
                    "admission.nonce", "a prefix of nonces has at most 48 characters: " + prefix, null);
        }
        this.prefix = prefix;
    }

    String next() {
        return prefix + '-' + Long.toString(++counter, 36);
    }
}
