package brambletray.platform.operations;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Binary encoding of keys, names and claim ids in batches and snapshots. */
final class OperationCodec {
    private OperationCodec() {}

    static void write(OperationKey key, DataOutputStream out) throws IOException {
        out.writeLong(key.high());
        out.writeLong(key.low());
    }

    static OperationKey readKey(DataInputStream in) throws IOException {
        return new OperationKey(in.readLong(), in.readLong());
    }

    static void write(OperationNames names, DataOutputStream out) throws IOException {
        write(names.byTenant(), out);
        out.writeBoolean(names.byCredential() != null);
        if (names.byCredential() != null) {
            write(names.byCredential(), out);
        }
    }

    static OperationNames readNames(DataInputStream in) throws IOException {
        OperationKey byTenant = readKey(in);
        return new OperationNames(byTenant, in.readBoolean() ? readKey(in) : null);
    }

    static void write(ClaimId claim, DataOutputStream out) throws IOException {
        out.writeLong(claim.incarnation());
        out.writeLong(claim.sequence());
    }

    static ClaimId readClaimId(DataInputStream in) throws IOException {
        return new ClaimId(in.readLong(), in.readLong());
    }
}
