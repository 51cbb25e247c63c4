package brambletray.platform.configuration;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The replicated state of the core: the current configuration, and which changes led to it, so that a change sent
 * again is answered like the first time. Pure: the same changes applied in the same order lead to the same state,
 * byte for byte. For one thread.
 */
public final class ConfigurationStateMachine {
    /**
     * Applied changes that are remembered, in snapshots too (24 bytes each); an operator sends a change again within
     * seconds, and a day has hundreds. What builds on a revision before them is not rejected but {@link
     * ChangeDecision.HistoryExpired}.
     */
    static final int MAX_REMEMBERED_CHANGES = 2_000;

    private static final byte SNAPSHOT_FORMAT = 1;
    /** Of a change's fingerprint, bytes. */
    private static final int FINGERPRINT_BYTES = 16;

    /** A change's fingerprint: the first half of its SHA-256. */
    private record Fingerprint(long high, long low) {}

    private record AppliedChange(long revision, Fingerprint fingerprint) {}

    private Configuration configuration = Configuration.NONE;
    private final ArrayDeque<AppliedChange> history = new ArrayDeque<>();
    private final Map<Fingerprint, Long> appliedRevisions = new HashMap<>();
    /** Result of the last change that was evaluated, which mostly is the next to be applied. */
    private Fingerprint lastEvaluated;

    private Configuration lastResult;

    /** The configuration that applies now. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * The revision that a call names as its base; 0 for the first. {@link ConfigurationException} where it is missing
     * or no number.
     */
    public static long parseBaseRevision(String header) {
        boolean digits = header != null && !header.isEmpty() && header.chars().allMatch(c -> c >= '0' && c <= '9');
        try {
            if (digits) {
                return Long.parseLong(header);
            }
        } catch (NumberFormatException e) {
            // above all numbers that a revision can have
        }
        throw new ConfigurationException("bad-base", "Brambletray-Base-Revision", "expected a revision's number");
    }

    /**
     * Whether this very change was applied, whatever came on top of it since. False also where it is not remembered
     * any more.
     */
    public boolean wasApplied(ChangeKind kind, long baseRevision, byte[] body) {
        return body.length <= ConfigurationJson.MAX_BODY_BYTES
                && appliedRevisions.containsKey(
                        fingerprint(new ConfigurationChange(kind, baseRevision, body).encode()));
    }

    /**
     * Evaluates a change against the current configuration: {@code Proposable}, {@code AlreadyApplied}, {@code
     * Stale}, {@code HistoryExpired} or {@code Invalid}. Whether it was applied before is checked first: such a
     * change has an old base, and where it was the last one its revision is not above the current one.
     */
    public ChangeDecision evaluate(ChangeKind kind, long baseRevision, byte[] body) {
        if (body.length > ConfigurationJson.MAX_BODY_BYTES) {
            return new ChangeDecision.Invalid(ConfigurationJson.tooLarge(body.length));
        }
        byte[] change = new ConfigurationChange(kind, baseRevision, body).encode();
        ChangeDecision decision = evaluateEncoded(change);
        return decision instanceof ChangeDecision.Applied ? new ChangeDecision.Proposable(change) : decision;
    }

    /**
     * Applies a committed change: {@code Applied}, or why it is not; another may have been committed since it was
     * evaluated, and then nothing changes here or on any other member.
     */
    public ChangeDecision apply(byte[] change) {
        ChangeDecision decision = evaluateEncoded(change);
        if (decision instanceof ChangeDecision.Applied applied) {
            configuration = applied.configuration();
            recordApplied(new AppliedChange(configuration.revision(), lastEvaluated));
        }
        return decision;
    }

    private ChangeDecision evaluateEncoded(byte[] bytes) {
        Fingerprint fingerprint = fingerprint(bytes);
        Long before = appliedRevisions.get(fingerprint);
        if (before != null) {
            return new ChangeDecision.AlreadyApplied(before);
        }
        try {
            ConfigurationChange change = ConfigurationChange.decode(bytes);
            if (change.baseRevision() != configuration.revision()) {
                return mayHaveExpired(change.baseRevision())
                        ? new ChangeDecision.HistoryExpired(history.peek().revision)
                        : new ChangeDecision.Stale(configuration.revision());
            }
            if (!fingerprint.equals(lastEvaluated)) {
                lastResult = change.applyTo(configuration);
                lastEvaluated = fingerprint;
            }
            return new ChangeDecision.Applied(lastResult);
        } catch (ConfigurationException error) {
            return new ChangeDecision.Invalid(error);
        }
    }

    /** Whether a change on this base may have been applied so long ago that it is not remembered. */
    private boolean mayHaveExpired(long baseRevision) {
        return history.size() >= MAX_REMEMBERED_CHANGES && baseRevision < history.peek().revision;
    }

    private void recordApplied(AppliedChange change) {
        history.add(change);
        appliedRevisions.put(change.fingerprint, change.revision);
        while (history.size() > MAX_REMEMBERED_CHANGES) {
            appliedRevisions.remove(history.remove().fingerprint);
        }
    }

    private static Fingerprint fingerprint(byte[] change) {
        try {
            ByteBuffer digest =
                    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(change));
            return new Fingerprint(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The state as bytes: format, the applied changes from the oldest on, the current configuration. */
    public byte[] snapshot() {
        byte[] json = configuration == Configuration.NONE ? new byte[0] : configuration.json();
        ByteBuffer out = ByteBuffer.allocate(1 + 4 + history.size() * (8 + FINGERPRINT_BYTES) + json.length);
        out.put(SNAPSHOT_FORMAT).putInt(history.size());
        for (AppliedChange change : history) {
            out.putLong(change.revision).putLong(change.fingerprint.high).putLong(change.fingerprint.low);
        }
        return out.put(json).array();
    }

    /**
     * Replaces the state by a snapshot, empty bytes being the state before the first change; {@link
     * ConfigurationException} where it cannot be read, and then nothing changes.
     */
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            reset(Configuration.NONE, List.of());
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        ArrayDeque<AppliedChange> read = new ArrayDeque<>();
        Configuration current;
        try {
            byte format = in.get();
            if (format != SNAPSHOT_FORMAT) {
                throw new ConfigurationException(
                        "bad-snapshot", "", "expected a snapshot of format " + SNAPSHOT_FORMAT + ", found " + format);
            }
            int count = in.getInt();
            for (int i = 0; i < count; i++) {
                read.add(new AppliedChange(in.getLong(), new Fingerprint(in.getLong(), in.getLong())));
            }
            byte[] json = new byte[in.remaining()];
            in.get(json);
            current = json.length == 0 ? Configuration.NONE : Configuration.read(json);
        } catch (BufferUnderflowException e) {
            throw new ConfigurationException("bad-snapshot", "", "expected a complete snapshot, its end is missing", e);
        }
        reset(current, read);
    }

    private void reset(Configuration current, Collection<AppliedChange> read) {
        configuration = current;
        lastEvaluated = null;
        lastResult = null;
        history.clear();
        appliedRevisions.clear();
        read.forEach(this::recordApplied);
    }
}
