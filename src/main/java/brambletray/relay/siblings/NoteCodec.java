package brambletray.relay.siblings;

import brambletray.relay.recovery.Account;
import brambletray.relay.recovery.Standing;
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
final class NoteCodec {
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

    NoteCodec(String cluster, byte[] key) {
        this.cluster = cluster;
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has HmacSHA256", e);
        }
    }

    byte[] bytes(Note note) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MOST);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORM);
            out.writeUTF(cluster);
            out.writeUTF(note.from());
            if (note instanceof Note.Beat beat) {
                out.writeByte(BEAT);
                write(out, beat.standing());
                out.writeLong(beat.beats());
            } else if (note instanceof Note.Ask ask) {
                out.writeByte(ASK);
                out.writeLong(ask.nonce());
            } else if (note instanceof Note.Tell tell) {
                boolean seen = tell.account() instanceof Account.Seen;
                out.writeByte(seen ? SEEN : NEVER);
                out.writeLong(tell.nonce());
                if (tell.account() instanceof Account.Never account) {
                    out.writeLong(account.memory());
                } else if (tell.account() instanceof Account.Seen account) {
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

    private static void write(DataOutputStream out, Standing standing) throws IOException {
        out.writeLong(standing.store());
        out.writeLong(standing.life());
        out.writeLong(standing.at());
    }

    /** Reads one; throws with the cause for one that is not of this cluster, or that has been changed. */
    Note read(byte[] bytes) throws IOException {
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
        Note note = switch (sort) {
            case BEAT -> new Note.Beat(from, standing(in), in.readLong());
            case ASK -> new Note.Ask(from, in.readLong());
            case SEEN ->
                new Note.Tell(from, in.readLong(), new Account.Seen(standing(in), in.readLong(), in.readLong()));
            case NEVER -> new Note.Tell(from, in.readLong(), new Account.Never(in.readLong()));
            default -> throw new IOException("a note of sort " + sort);
        };
        if (in.available() > 0) {
            throw new IOException("a note that is too long for its sort");
        }
        return note;
    }

    private static Standing standing(DataInputStream in) throws IOException {
        return new Standing(in.readLong(), in.readLong(), in.readLong());
    }
}
