package brambletray.platform.replication;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Binary form of what is stored and of what is transferred in chunks. Each value begins with the version of its form;
 * older forms are read, only the current one is written.
 */
final class ReplicationCodec {
    /** Form 1 lacks the zones of members and is still read. */
    private static final int CURRENT_VERSION = 2;

    private ReplicationCodec() {}

    interface Writer {
        void writeTo(DataOutputStream out) throws IOException;
    }

    interface Reader<T> {
        T readFrom(DataInputStream in) throws IOException;
    }

    static byte[] write(Writer writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(CURRENT_VERSION);
            writing.writeTo(out);
        } catch (IOException e) {
            throw new ReplicationException("replication.form", "cannot be written", e);
        }
        return bytes.toByteArray();
    }

    /** An input, and the form that it was written in. */
    private static final class VersionedInput extends DataInputStream {
        final int version;

        VersionedInput(byte[] bytes) throws IOException {
            super(new ByteArrayInputStream(bytes));
            version = readByte();
        }
    }

    static <T> T read(byte[] bytes, Reader<T> reading) {
        try (VersionedInput in = new VersionedInput(bytes)) {
            if (in.version < 1 || in.version > CURRENT_VERSION) {
                throw new ReplicationException(
                        "replication.form",
                        "stored in form " + in.version + ", this program reads forms up to " + CURRENT_VERSION);
            }
            return reading.readFrom(in);
        } catch (IOException e) {
            throw new ReplicationException("replication.form", "cannot be read: " + e.getMessage(), e);
        }
    }

    static void ballot(DataOutputStream out, Ballot ballot) throws IOException {
        out.writeLong(ballot.number());
        out.writeLong(ballot.proposer());
    }

    static Ballot ballot(DataInputStream in) throws IOException {
        return new Ballot(in.readLong(), in.readLong());
    }

    static byte[] ballot(Ballot ballot) {
        return write(out -> ballot(out, ballot));
    }

    private static void members(DataOutputStream out, List<Member> members) throws IOException {
        out.writeInt(members.size());
        for (Member member : members) {
            out.writeUTF(member.address());
            out.writeUTF(member.name());
            out.writeLong(member.incarnation());
            out.writeUTF(member.zone());
        }
    }

    private static List<Member> members(DataInputStream in) throws IOException {
        boolean zones = !(in instanceof VersionedInput input) || input.version > 1;
        int count = in.readInt();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(in.readUTF(), in.readUTF(), in.readLong(), zones ? in.readUTF() : ""));
        }
        return members;
    }

    static byte[] view(View view, boolean inForce) {
        return write(out -> {
            out.writeBoolean(inForce);
            ballot(out, view.ballot());
            members(out, view.members());
            out.writeInt(view.predecessors().size());
            for (ViewMembership membership : view.predecessors()) {
                ballot(out, membership.ballot());
                members(out, membership.members());
            }
        });
    }

    /** The view, after a flag that says whether it is known to be active. */
    static View view(DataInputStream in) throws IOException {
        Ballot ballot = ballot(in);
        List<Member> members = members(in);
        int count = in.readInt();
        List<ViewMembership> past = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            past.add(new ViewMembership(ballot(in), members(in)));
        }
        return new View(ballot, members, past);
    }

    static byte[] entry(LogEntry entry) {
        return write(out -> entry(out, entry));
    }

    private static void entry(DataOutputStream out, LogEntry entry) throws IOException {
        out.writeLong(entry.index());
        ballot(out, entry.view());
        out.writeLong(entry.origin());
        out.writeLong(entry.token());
        bytes(out, entry.bytes());
    }

    static LogEntry entry(DataInputStream in) throws IOException {
        return new LogEntry(in.readLong(), ballot(in), in.readLong(), in.readLong(), bytes(in));
    }

    static byte[] snapshot(ReplicatedLog log) {
        return write(out -> {
            out.writeLong(log.snapshotIndex());
            ballot(out, log.snapshotView());
            bytes(out, log.snapshot());
        });
    }

    static byte[] patch(LogPatch patch, long commit) {
        return write(out -> {
            out.writeLong(commit);
            out.writeBoolean(patch.replacesAll());
            out.writeLong(patch.previousIndex());
            ballot(out, patch.previousView());
            bytes(out, patch.snapshot());
            out.writeInt(patch.entries().size());
            for (LogEntry entry : patch.entries()) {
                entry(out, entry);
            }
        });
    }

    /** The patch, after the commit index of the member that has packed it. */
    static LogPatch patch(DataInputStream in) throws IOException {
        boolean replacesAll = in.readBoolean();
        long after = in.readLong();
        Ballot afterView = ballot(in);
        byte[] snapshot = bytes(in);
        int count = in.readInt();
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(in));
        }
        return new LogPatch(replacesAll, after, afterView, snapshot, entries);
    }

    static byte[] strings(List<String> strings) {
        return write(out -> {
            out.writeInt(strings.size());
            for (String string : strings) {
                out.writeUTF(string);
            }
        });
    }

    static List<String> strings(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<String> strings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            strings.add(in.readUTF());
        }
        return strings;
    }

    static byte[] longs(Iterable<Long> longs) {
        return write(out -> {
            List<Long> all = new ArrayList<>();
            longs.forEach(all::add);
            out.writeInt(all.size());
            for (long one : all) {
                out.writeLong(one);
            }
        });
    }

    static List<Long> longs(DataInputStream in) throws IOException {
        int count = in.readInt();
        List<Long> longs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            longs.add(in.readLong());
        }
        return longs;
    }

    private static void bytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] bytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > 64 << 20) {
            throw new IOException("length " + length);
        }
        return in.readNBytes(length);
    }
}
