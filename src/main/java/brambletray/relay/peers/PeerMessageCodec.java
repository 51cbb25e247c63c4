package brambletray.relay.peers;

import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Messages as bytes: form, cluster, sender, sort and what belongs to it, then the first 16 bytes of HMAC-SHA256
 * (RFC 2104, FIPS 198-1) over all before. Not for several threads.
 */
final class PeerMessageCodec {
    /** Bytes of a message at most. */
    static final int MAX_BYTES = 256;
    /** Characters of a name at most. */
    static final int MAX_NAME_LENGTH = 40;

    private static final int HASH_BYTES = 16;
    private static final byte FORM = 1;
    private static final byte HEARTBEAT = 1;
    private static final byte REQUEST = 2;
    private static final byte RESPONSE_SEEN = 3;
    private static final byte RESPONSE_NOT_SEEN = 4;

    private final String cluster;
    private final Mac mac;

    PeerMessageCodec(String cluster, byte[] key) {
        this.cluster = cluster;
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has HmacSHA256", e);
        }
    }

    byte[] encode(PeerMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORM);
            out.writeUTF(cluster);
            out.writeUTF(message.from());
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                out.writeByte(HEARTBEAT);
                writeFreshness(out, heartbeat.freshness());
                out.writeLong(heartbeat.sequence());
            } else if (message instanceof PeerMessage.WitnessRequest request) {
                out.writeByte(REQUEST);
                out.writeLong(request.nonce());
            } else if (message instanceof PeerMessage.WitnessResponse response) {
                boolean isSeen = response.report() instanceof WitnessReport.Seen;
                out.writeByte(isSeen ? RESPONSE_SEEN : RESPONSE_NOT_SEEN);
                out.writeLong(response.nonce());
                if (response.report() instanceof WitnessReport.NotSeen notSeen) {
                    out.writeLong(notSeen.memoryMs());
                } else if (response.report() instanceof WitnessReport.Seen seen) {
                    writeFreshness(out, seen.newest());
                    out.writeLong(seen.ageMs());
                    out.writeLong(seen.heartbeats());
                }
            }
            byte[] said = bytes.toByteArray();
            out.write(mac.doFinal(said), 0, HASH_BYTES);
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        return bytes.toByteArray();
    }

    private static void writeFreshness(DataOutputStream out, StoreFreshness freshness) throws IOException {
        out.writeLong(freshness.storeNumber());
        out.writeLong(freshness.incarnation());
        out.writeLong(freshness.batch());
    }

    /** Reads one; throws with the cause for one that is not of this cluster, or that has been changed. */
    PeerMessage decode(byte[] bytes) throws IOException {
        if (bytes.length <= HASH_BYTES || bytes.length > MAX_BYTES) {
            throw new IOException("a note of " + bytes.length + " bytes");
        }
        byte[] said = Arrays.copyOf(bytes, bytes.length - HASH_BYTES);
        byte[] hash = Arrays.copyOf(mac.doFinal(said), HASH_BYTES);
        if (!MessageDigest.isEqual(hash, Arrays.copyOfRange(bytes, said.length, bytes.length))) {
            throw new IOException("a note whose keyed hash does not fit");
        }
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(said));
        if (in.readByte() != FORM) {
            throw new IOException("a note of another form");
        }
        String theirs = in.readUTF();
        if (!theirs.equals(cluster)) {
            throw new IOException("a note of cluster '" + theirs + "', this is '" + cluster + "'");
        }
        String from = in.readUTF();
        byte sort = in.readByte();
        PeerMessage message = switch (sort) {
            case HEARTBEAT -> new PeerMessage.Heartbeat(from, readFreshness(in), in.readLong());
            case REQUEST -> new PeerMessage.WitnessRequest(from, in.readLong());
            case RESPONSE_SEEN ->
                new PeerMessage.WitnessResponse(
                        from, in.readLong(), new WitnessReport.Seen(readFreshness(in), in.readLong(), in.readLong()));
            case RESPONSE_NOT_SEEN ->
                new PeerMessage.WitnessResponse(from, in.readLong(), new WitnessReport.NotSeen(in.readLong()));
            default -> throw new IOException("a note of sort " + sort);
        };
        if (in.available() > 0) {
            throw new IOException("a note that is too long for its sort");
        }
        return message;
    }

    private static StoreFreshness readFreshness(DataInputStream in) throws IOException {
        return new StoreFreshness(in.readLong(), in.readLong(), in.readLong());
    }
}
