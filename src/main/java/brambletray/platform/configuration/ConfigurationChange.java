package brambletray.platform.configuration;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A change as it goes through the order: format, verb, base and body. */
record ConfigurationChange(ChangeKind verb, long base, byte[] body) {
    private static final byte FORMAT = 1;
    private static final int HEAD = 10;

    byte[] bytes() {
        return ByteBuffer.allocate(HEAD + body.length)
                .put(FORMAT)
                .put((byte) verb.ordinal())
                .putLong(base)
                .put(body)
                .array();
    }

    static ConfigurationChange from(byte[] bytes) {
        if (bytes.length < HEAD || bytes[0] != FORMAT || bytes[1] < 0 || bytes[1] >= ChangeKind.values().length) {
            throw new ConfigurationException("bad-change", "", "expected a change of format " + FORMAT);
        }
        return new ConfigurationChange(
                ChangeKind.values()[bytes[1]],
                ByteBuffer.wrap(bytes).getLong(2),
                Arrays.copyOfRange(bytes, HEAD, bytes.length));
    }

    /** What becomes of this configuration, which has to be the base. */
    Configuration on(Configuration configuration) {
        if (configuration.revision() != base) {
            throw new ConfigurationException(
                    "stale",
                    "Brambletray-Base-Revision",
                    "expected " + configuration.revision() + ", which is current, found " + base);
        }
        return verb == ChangeKind.REPLACE ? Configuration.read(body).after(configuration) : configuration.modify(body);
    }
}
