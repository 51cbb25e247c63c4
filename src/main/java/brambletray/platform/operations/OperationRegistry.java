package brambletray.platform.operations;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The claims that stand: the replicated state by which an operation runs at most once. Pure and deterministic: the same
 * batches in the same order lead to the same state at all members, byte for byte. For one thread.
 *
 * <p>Time is the log's: it only advances by what a proposer's steady clock has measured since the last batch, so it is
 * never ahead of real time, stands still while nothing is committed, and a claim stands for its window at least,
 * whatever clocks are stepped and whatever restarts.
 */
public final class OperationRegistry {
    private static final byte SNAPSHOT_FORMAT = 1;
    private static final int CLAIM_BYTES = 44;

    /** A claim that stands. {@code edge}: the name of the edge that drew it. */
    public record StandingClaim(ClaimId id, String edge, long expiresAtMs) {}

    /**
     * What became of a command.
     *
     * @param holder the claim that stands on its key now; null: none
     */
    public record Outcome(OperationCommand command, StandingClaim holder) {}

    /** In the order of their expiry, but for windows that were changed. */
    private final Map<OperationKey, StandingClaim> claims = new LinkedHashMap<>();

    private long logTimeMs;
    /** Steady clock of this process when {@link #logTimeMs} was reached, ms. */
    private long reachedAtMs;

    /** {@code nowMs}: steady clock. */
    public OperationRegistry(long nowMs) {
        reachedAtMs = nowMs;
    }

    /** The log's time at this moment of the steady clock, for the next batch. */
    public long logTimeMs(long nowMs) {
        return logTimeMs + Math.max(0, nowMs - reachedAtMs);
    }

    /** The claim that stands on this key as of the last batch; null: none. */
    public StandingClaim holder(OperationKey key) {
        StandingClaim claim = claims.get(key);
        return claim == null || isExpired(claim) ? null : claim;
    }

    /** How many claims are remembered. */
    public int size() {
        return claims.size();
    }

    /** Applies a committed batch; {@code nowMs}: steady clock. */
    public List<Outcome> apply(OperationBatch batch, long nowMs) {
        advanceTo(batch.logTimeMs(), nowMs);
        List<Outcome> outcomes = new ArrayList<>(batch.commands().size());
        for (OperationCommand command : batch.commands()) {
            StandingClaim holder = holder(command.key());
            if (command instanceof OperationCommand.Claim claim && holder == null) {
                holder = new StandingClaim(claim.claim(), claim.edge(), logTimeMs + batch.windowMs());
                claims.remove(claim.key());
                claims.put(claim.key(), holder);
            } else if (command instanceof OperationCommand.Release release
                    && holder != null
                    && holder.id().equals(release.claim())) {
                claims.remove(release.key());
                holder = null;
            }
            outcomes.add(new Outcome(command, holder));
        }
        return outcomes;
    }

    private void advanceTo(long timeMs, long nowMs) {
        logTimeMs = Math.max(logTimeMs, timeMs);
        reachedAtMs = nowMs;
        Iterator<StandingClaim> oldest = claims.values().iterator();
        while (oldest.hasNext() && isExpired(oldest.next())) {
            oldest.remove();
        }
    }

    private boolean isExpired(StandingClaim claim) {
        return logTimeMs >= claim.expiresAtMs();
    }

    /** The state as bytes: format, time, names of edges, claims. */
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + CLAIM_BYTES * claims.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(SNAPSHOT_FORMAT);
            out.writeLong(logTimeMs);
            Map<String, Integer> edges = new HashMap<>();
            List<String> names = new ArrayList<>();
            for (StandingClaim claim : claims.values()) {
                if (edges.putIfAbsent(claim.edge(), names.size()) == null) {
                    names.add(claim.edge());
                }
            }
            out.writeInt(names.size());
            for (String name : names) {
                out.writeUTF(name);
            }
            out.writeInt(claims.size());
            for (Map.Entry<OperationKey, StandingClaim> entry : claims.entrySet()) {
                OperationCodec.write(entry.getKey(), out);
                OperationCodec.write(entry.getValue().id(), out);
                out.writeLong(entry.getValue().expiresAtMs());
                out.writeInt(edges.get(entry.getValue().edge()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Replaces the state by a snapshot; empty bytes are the state before the first batch. {@link OperationsException}
     * where it cannot be read, and then nothing changes.
     */
    public void restore(byte[] snapshot, long nowMs) {
        Map<OperationKey, StandingClaim> read = new LinkedHashMap<>();
        long time = snapshot.length == 0 ? 0 : read(snapshot, read);
        logTimeMs = time;
        reachedAtMs = nowMs;
        claims.clear();
        claims.putAll(read);
    }

    private static long read(byte[] snapshot, Map<OperationKey, StandingClaim> into) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            byte format = in.readByte();
            if (format != SNAPSHOT_FORMAT) {
                throw new OperationsException(
                        "operations.bad-snapshot",
                        "expected a snapshot of format " + SNAPSHOT_FORMAT + ", found " + format,
                        null);
            }
            long time = in.readLong();
            List<String> names = new ArrayList<>();
            for (int i = in.readInt(); i > 0; i--) {
                names.add(in.readUTF());
            }
            for (int i = in.readInt(); i > 0; i--) {
                OperationKey key = OperationCodec.readKey(in);
                ClaimId claim = OperationCodec.readClaimId(in);
                long expiresAtMs = in.readLong();
                into.put(key, new StandingClaim(claim, names.get(in.readInt()), expiresAtMs));
            }
            return time;
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new OperationsException(
                    "operations.bad-snapshot", "expected a complete snapshot: " + e.getMessage(), e);
        }
    }
}
