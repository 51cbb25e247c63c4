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
 * Notes as bytes: form, cluster, sender, sort and what belongs to it, then the first 16 bytes of HMAC-SHA256
 * (RFC 2104, FIPS 198-1) over all before. Not for several threads.
 */
final class PeerMessageCodec {
    /** Bytes of a note at most. */
    static final int MOST = 256;
    /** Characters of a name at most. */
    static final int NAME_MOST = 40;

    private static final int HASH = 16;
    private static final byte FORM = 1;
    private static final byte BEAT = 1;
    private static final byte ASK = 2;
    private static final byte SEEN = 3;
    private static final byte NEVER = 4;

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

    byte[] bytes(PeerMessage note) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MOST);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORM);
            out.writeUTF(cluster);
            out.writeUTF(note.from());
            if (note instanceof PeerMessage.Beat beat) {
                out.writeByte(BEAT);
                write(out, beat.standing());
                out.writeLong(beat.beats());
            } else if (note instanceof PeerMessage.Ask ask) {
                out.writeByte(ASK);
                out.writeLong(ask.nonce());
            } else if (note instanceof PeerMessage.Tell tell) {
                boolean seen = tell.account() instanceof WitnessReport.Seen;
                out.writeByte(seen ? SEEN : NEVER);
                out.writeLong(tell.nonce());
                if (tell.account() instanceof WitnessReport.Never account) {
                    out.writeLong(account.memory());
                } else if (tell.account() instanceof WitnessReport.Seen account) {
                    write(out, account.last());
                    out.writeLong(account.age());
                    out.writeLong(account.beats());
                }
            }
            byte[] said = bytes.toByteArray();
            out.write(mac.doFinal(said), 0, HASH);
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, StoreFreshness standing) throws IOException {
        out.writeLong(standing.store());
        out.writeLong(standing.life());
        out.writeLong(standing.at());
    }

    /** Reads one; throws with the cause for one that is not of this cluster, or that has been changed. */
    PeerMessage read(byte[] bytes) throws IOException {
        if (bytes.length <= HASH || bytes.length > MOST) {
            throw new IOException("a note of " + bytes.length + " bytes");
        }
        byte[] said = Arrays.copyOf(bytes, bytes.length - HASH);
        byte[] hash = Arrays.copyOf(mac.doFinal(said), HASH);
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
        PeerMessage note = switch (sort) {
            case BEAT -> new PeerMessage.Beat(from, standing(in), in.readLong());
            case ASK -> new PeerMessage.Ask(from, in.readLong());
            case SEEN ->
                new PeerMessage.Tell(
                        from, in.readLong(), new WitnessReport.Seen(standing(in), in.readLong(), in.readLong()));
            case NEVER -> new PeerMessage.Tell(from, in.readLong(), new WitnessReport.Never(in.readLong()));
            default -> throw new IOException("a note of sort " + sort);
        };
        if (in.available() > 0) {
            throw new IOException("a note that is too long for its sort");
        }
        return note;
    }

    private static StoreFreshness standing(DataInputStream in) throws IOException {
        return new StoreFreshness(in.readLong(), in.readLong(), in.readLong());
    }
}
