package brambletray.relay.handover;

import brambletray.relay.store.Disk;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Where the owner of a folder can be met, in the file {@link #NAME} of the folder: its operators' address,
 * and a secret that only those who may read the folder know.
 */
record OwnerAddressFile(InetSocketAddress address, String secret) {
    static final String NAME = "HANDOVER";
    static final String FRESH = "HANDOVER.new";
    private static final int MOST = 4_096;
    private static final JsonFactory JSON = new JsonFactory();

    void write(Disk disk) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("console", address.getAddress().getHostAddress() + ":" + address.getPort());
            out.writeStringField("secret", secret);
            out.writeEndObject();
        }
        Disk.File file = disk.open(FRESH, true);
        try {
            file.truncate(0);
            file.write(0, ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)));
        } finally {
            file.close();
        }
        disk.rename(FRESH, NAME);
    }

    /** Null where there is none that can be read. */
    static OwnerAddressFile read(Disk disk) {
        try {
            if (!disk.exists(NAME)) {
                return null;
            }
            Disk.File file = disk.open(NAME, false);
            try {
                Wire.Fields all = Wire.decode(new String(file.read(0, MOST), StandardCharsets.UTF_8));
                return new OwnerAddressFile(Addresses.parse(all.text("console")), all.text("secret"));
            } finally {
                file.close();
            }
        } catch (IOException e) {
            return null;
        }
    }
}
