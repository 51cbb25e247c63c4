package brambletray.platform.configuration;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A change as it is proposed and replicated: encoded as format, kind, base revision and body. */
record ConfigurationChange(ChangeKind kind, long baseRevision, byte[] body) {
    private static final byte FORMAT = 1;
    private static final int HEADER_BYTES = 10;

    byte[] encode() {
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .put(FORMAT)
                .put((byte) kind.ordinal())
                .putLong(baseRevision)
                .put(body)
                .array();
    }

    static ConfigurationChange decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES
                || bytes[0] != FORMAT
                || bytes[1] < 0
                || bytes[1] >= ChangeKind.values().length) {
            throw new ConfigurationException("bad-change", "", "expected a change of format " + FORMAT);
        }
        return new ConfigurationChange(
                ChangeKind.values()[bytes[1]],
                ByteBuffer.wrap(bytes).getLong(2),
                Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length));
    }

    /** Applies the change; throws {@link ConfigurationException} if this configuration is not its base. */
    Configuration applyTo(Configuration configuration) {
        if (configuration.revision() != baseRevision) {
            throw new ConfigurationException(
                    "stale",
                    "Brambletray-Base-Revision",
                    "expected the current revision " + configuration.revision() + ", found " + baseRevision);
        }
        return kind == ChangeKind.REPLACE
                ? Configuration.read(body).requireNewerThan(configuration)
                : configuration.modify(body);
    }
}
