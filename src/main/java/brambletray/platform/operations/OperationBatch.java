package brambletray.platform.operations;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Commands that form one entry of the replicated log.
 *
 * @param stamp when it was created
 * @param windowMs how long its claims stay active and its releases are remembered
 */
public record OperationBatch(BatchStamp stamp, long windowMs, List<OperationCommand> commands) {
    /** First byte of an encoded batch, which tells it from configuration changes in the log. */
    public static final byte FORMAT = 2;

    private static final int CLAIM = 1;
    private static final int RELEASE = 2;
    private static final int CLAIM_WITH_CREDENTIAL = 3;

    /** Whether this entry of the replicated log is a batch. */
    public static boolean isBatch(byte[] entry) {
        return entry.length > 0 && entry[0] == FORMAT;
    }

    /** Encodes the batch. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32 + 64 * commands.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            write(stamp, out);
            out.writeLong(windowMs);
            out.writeInt(commands.size());
            for (OperationCommand command : commands) {
                write(command, out);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(BatchStamp stamp, DataOutputStream out) throws IOException {
        out.writeLong(stamp.proposer());
        out.writeLong(stamp.createdAtMs());
        out.writeLong(stamp.foreignSequence());
        out.writeLong(stamp.foreignAppliedAtMs());
    }

    private static BatchStamp readStamp(DataInputStream in) throws IOException {
        return new BatchStamp(in.readLong(), in.readLong(), in.readLong(), in.readLong());
    }

    private static void write(OperationCommand command, DataOutputStream out) throws IOException {
        out.writeByte(kind(command));
        OperationCodec.write(command.claim(), out);
        OperationCodec.write(command.key(), out);
        if (command instanceof OperationCommand.Claim claim) {
            if (claim.names().byCredential() != null) {
                OperationCodec.write(claim.names().byCredential(), out);
            }
            out.writeUTF(claim.edge());
        }
    }

    private static int kind(OperationCommand command) {
        if (command instanceof OperationCommand.Claim claim) {
            return claim.names().byCredential() == null ? CLAIM : CLAIM_WITH_CREDENTIAL;
        }
        return RELEASE;
    }

    /** Decodes a batch; throws {@link OperationsException} if {@link #encode} cannot have produced the bytes. */
    public static OperationBatch decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readByte() != FORMAT) {
                throw new OperationsException(
                        "operations.bad-batch", "unsupported batch format, expected " + FORMAT, null);
            }
            BatchStamp stamp = readStamp(in);
            long windowMs = in.readLong();
            int count = in.readInt();
            List<OperationCommand> commands = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                commands.add(read(in));
            }
            if (in.read() >= 0) {
                throw new OperationsException("operations.bad-batch", "unexpected bytes after the last command", null);
            }
            return new OperationBatch(stamp, windowMs, commands);
        } catch (IOException e) {
            throw new OperationsException(
                    "operations.bad-batch", "batch is truncated or malformed: " + e.getMessage(), e);
        }
    }

    private static OperationCommand read(DataInputStream in) throws IOException {
        int kind = in.readByte();
        ClaimId claim = OperationCodec.readClaimId(in);
        OperationKey key = OperationCodec.readKey(in);
        return switch (kind) {
            case CLAIM -> new OperationCommand.Claim(claim, OperationNames.withoutCredential(key), in.readUTF());
            case CLAIM_WITH_CREDENTIAL ->
                new OperationCommand.Claim(claim, new OperationNames(key, OperationCodec.readKey(in)), in.readUTF());
            case RELEASE -> new OperationCommand.Release(claim, key);
            default ->
                throw new OperationsException(
                        "operations.bad-batch",
                        "unknown command kind " + kind + ", expected a claim or a release",
                        null);
        };
    }
}
