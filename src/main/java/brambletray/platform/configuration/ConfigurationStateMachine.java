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
 * The replicated state machine of the core members: the current configuration and the changes that led to it, so that
 * a repeated change gets the same answer as the first time. Deterministic: the same changes in the same order give the
 * same state, byte for byte. Performs no I/O. Not thread-safe.
 */
public final class ConfigurationStateMachine {
    /**
     * Number of applied changes that are remembered, also in snapshots (24 bytes each). An operator repeats a change
     * within seconds, and there are hundreds of changes a day. A change that builds on a revision before the remembered
     * ones gets {@link ChangeDecision.HistoryExpired} instead of a rejection.
     */
    static final int MAX_REMEMBERED_CHANGES = 2_000;

    private static final byte SNAPSHOT_FORMAT = 1;
    private static final int FINGERPRINT_BYTES = 16;

    /** The first half of the SHA-256 of an encoded change. */
    private record Fingerprint(long high, long low) {}

    private record AppliedChange(long revision, Fingerprint fingerprint) {}

    private Configuration configuration = Configuration.NONE;
    private final ArrayDeque<AppliedChange> history = new ArrayDeque<>();
    private final Map<Fingerprint, Long> appliedRevisions = new HashMap<>();
    /** The last change that was evaluated; its result is cached, as it usually is the next change to be applied. */
    private Fingerprint lastEvaluated;

    private Configuration lastResult;

    /** The current configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Parses the header that gives the base revision of a change; 0 for the first change. Throws {@link
     * ConfigurationException} if it is missing or not a number.
     */
    public static long parseBaseRevision(String header) {
        boolean digits = header != null && !header.isEmpty() && header.chars().allMatch(c -> c >= '0' && c <= '9');
        try {
            if (digits) {
                return Long.parseLong(header);
            }
        } catch (NumberFormatException e) {
            // larger than any possible revision
        }
        throw new ConfigurationException("bad-base", "Brambletray-Base-Revision", "expected a revision number");
    }

    /**
     * Whether exactly this change was applied, regardless of later changes. Also false if it is no longer
     * remembered.
     */
    public boolean wasApplied(ChangeKind kind, long baseRevision, byte[] body) {
        return body.length <= ConfigurationJson.MAX_BODY_BYTES
                && appliedRevisions.containsKey(
                        fingerprint(new ConfigurationChange(kind, baseRevision, body).encode()));
    }

    /**
     * Evaluates a change against the current configuration: {@code Proposable}, {@code AlreadyApplied}, {@code
     * Stale}, {@code HistoryExpired} or {@code Invalid}. Whether it was already applied is checked first, because such
     * a change has an old base revision and would otherwise be stale or, as the latest change, not newer.
     */
    public ChangeDecision evaluate(ChangeKind kind, long baseRevision, byte[] body) {
        if (body.length > ConfigurationJson.MAX_BODY_BYTES) {
            return new ChangeDecision.Invalid(ConfigurationJson.tooLarge(body.length));
        }
        byte[] change = new ConfigurationChange(kind, baseRevision, body).encode();
        ChangeDecision decision = evaluateEncoded(change);
        return decision instanceof ChangeDecision.Applied applied ? checkNew(body, change, applied) : decision;
    }

    /** Checks that {@link #apply} omits, as earlier versions have committed changes that fail them. */
    private static ChangeDecision checkNew(byte[] body, byte[] change, ChangeDecision.Applied result) {
        try {
            JsonTextValidator.requirePairedSurrogates(body);
            TenantTable.requireDistinctHeaderValues(result.configuration().tenants());
            return new ChangeDecision.Proposable(change);
        } catch (ConfigurationException error) {
            return new ChangeDecision.Invalid(error);
        }
    }

    /**
     * Applies a committed change. Returns {@code Applied} or the reason why it was not applied: another change may have
     * been committed after this one was evaluated, and then no member changes its state.
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
        Long appliedRevision = appliedRevisions.get(fingerprint);
        if (appliedRevision != null) {
            return new ChangeDecision.AlreadyApplied(appliedRevision);
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

    /** Whether a change on this base may have been applied and evicted from the history since. */
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

    /** Serializes the state: format, applied changes from oldest to newest, current configuration. */
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
     * Replaces the state by a snapshot; empty bytes stand for the state before the first change. Throws {@link
     * ConfigurationException} if the snapshot is invalid, and then leaves the state unchanged.
     */
    public void restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            reset(Configuration.NONE, List.of());
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        ArrayDeque<AppliedChange> restoredHistory = new ArrayDeque<>();
        Configuration current;
        try {
            byte format = in.get();
            if (format != SNAPSHOT_FORMAT) {
                throw new ConfigurationException(
                        "bad-snapshot", "", "expected a snapshot of format " + SNAPSHOT_FORMAT + ", found " + format);
            }
            int count = in.getInt();
            for (int i = 0; i < count; i++) {
                restoredHistory.add(new AppliedChange(in.getLong(), new Fingerprint(in.getLong(), in.getLong())));
            }
            byte[] json = new byte[in.remaining()];
            in.get(json);
            current = json.length == 0 ? Configuration.NONE : Configuration.readStored(json);
        } catch (BufferUnderflowException e) {
            throw new ConfigurationException(
                    "bad-snapshot", "", "expected a complete snapshot, found a truncated one", e);
        }
        reset(current, restoredHistory);
    }

    private void reset(Configuration current, Collection<AppliedChange> restoredHistory) {
        configuration = current;
        lastEvaluated = null;
        lastResult = null;
        history.clear();
        appliedRevisions.clear();
        restoredHistory.forEach(this::recordApplied);
    }
}
