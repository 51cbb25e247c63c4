package brambletray.platform.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Deflates deltas and configurations for slow or expensive links; a full configuration shrinks to about a tenth. */
final class DeltaCompression {
    private DeltaCompression() {}

    /**
     * Limit that guards against decompression bombs: twice the largest configuration, as a delta adds names and lengths
     * to the bytes of the entries.
     */
    static final int MAX_DECOMPRESSED_BYTES = 2 * ConfigurationJson.MAX_BODY_BYTES;

    static byte[] compress(byte[] input) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(input);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(1 + input.length / 8);
            byte[] buffer = new byte[8_192];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    static byte[] decompress(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(
                    Math.min(MAX_DECOMPRESSED_BYTES, 8 * Math.min(compressed.length, MAX_DECOMPRESSED_BYTES)));
            byte[] buffer = new byte[8_192];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                out.write(buffer, 0, count);
                if (count == 0 && !inflater.finished() || out.size() > MAX_DECOMPRESSED_BYTES) {
                    throw new ConfigurationException(
                            "bad-packing", "", "expected a complete configuration, compressed");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new ConfigurationException("bad-packing", "", "expected a complete configuration, compressed", e);
        } finally {
            inflater.end();
        }
    }
}
