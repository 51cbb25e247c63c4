package brambletray.platform.edge;

import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationNames;
import brambletray.platform.operations.OperationState;
import brambletray.platform.proxy.RecordedAnswer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The results of the claims that this edge has requested, with the answers of instances, for repeated attempts of an
 * operation. Bounded: the oldest answers are evicted first, and their claims are {@link OperationState#UNKNOWN} from
 * then on. Times are monotonic ms. Confined to the event loop.
 */
final class OperationResults {
    /** The result of a claim; {@code answer} is null unless the state is DONE. */
    record Result(OperationState state, RecordedAnswer answer) {
        static final Result RUNNING = new Result(OperationState.RUNNING, null);
        static final Result NOT_RUN = new Result(OperationState.NOT_RUN, null);
        static final Result UNKNOWN = new Result(OperationState.UNKNOWN, null);

        static Result done(RecordedAnswer answer) {
            return new Result(OperationState.DONE, answer);
        }

        int size() {
            return answer == null ? 0 : answer.size();
        }
    }

    private static final class Entry {
        private final OperationNames names;
        private final long claimedAtMs;
        private Result result = Result.RUNNING;
        private final List<Consumer<Result>> watchers = new ArrayList<>(0);

        Entry(OperationNames names, long claimedAtMs) {
            this.names = names;
            this.claimedAtMs = claimedAtMs;
        }
    }

    private final int retentionMs;
    private final int maxEntries;
    private final long maxBytes;
    /** In the order of their requests. */
    private final LinkedHashMap<ClaimId, Entry> entries = new LinkedHashMap<>();
    /** The newest claim of each name of an operation. */
    private final Map<OperationKey, ClaimId> claims = new HashMap<>();
    /** Claims with an answer, oldest first; may contain claims that were removed since. */
    private final ArrayDeque<ClaimId> answered = new ArrayDeque<>();

    private long bytes;
    /** The highest sequence number of a removed claim. */
    private long highestRemovedSequence;

    /** {@code retentionMs}: how long claims are retained after their request; {@code maxBytes}: limit for answers. */
    OperationResults(int retentionMs, int maxEntries, long maxBytes) {
        this.retentionMs = retentionMs;
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
    }

    /** Adds a claim requested at this time; it is RUNNING until {@link #end}. */
    void onRequested(ClaimId claim, OperationNames names, long claimedAtMs) {
        entries.put(claim, new Entry(names, claimedAtMs));
        claims.put(names.byTenant(), claim);
        if (names.byCredential() != null) {
            claims.put(names.byCredential(), claim);
        }
    }

    /**
     * The newest claim of this operation if it was requested at or after this time, otherwise null. The name by tenant
     * goes before that by credential.
     */
    ClaimId claimSince(OperationNames names, long sinceMs) {
        ClaimId claim = claimSince(names.byTenant(), sinceMs);
        return claim == null ? claimSince(names.byCredential(), sinceMs) : claim;
    }

    private ClaimId claimSince(OperationKey name, long sinceMs) {
        ClaimId claim = claims.get(name);
        Entry entry = claim == null ? null : entries.get(claim);
        return entry == null || entry.claimedAtMs < sinceMs ? null : claim;
    }

    /** The operation's name by tenant of a claim that is still retained; null for others. */
    OperationKey key(ClaimId claim) {
        Entry entry = entries.get(claim);
        return entry == null ? null : entry.names.byTenant();
    }

    /** The result of a claim of this process. A claim that was never requested is NOT_RUN; a removed one UNKNOWN. */
    Result find(ClaimId claim) {
        Entry entry = entries.get(claim);
        if (entry != null) {
            return entry.result;
        }
        return claim.sequence() <= highestRemovedSequence ? Result.UNKNOWN : Result.NOT_RUN;
    }

    /** Calls the watcher once, when this claim ends; the claim must be RUNNING. */
    void watch(ClaimId claim, Consumer<Result> watcher) {
        entries.get(claim).watchers.add(watcher);
    }

    /** Records the result of a claim; only the first result counts. */
    void end(ClaimId claim, Result result) {
        Entry entry = entries.get(claim);
        if (entry == null || entry.result != Result.RUNNING) {
            return;
        }
        entry.result = result;
        if (result.answer() != null) {
            bytes += result.size();
            answered.add(claim);
            evictAnswers();
        }
        List<Consumer<Result>> watchers = List.copyOf(entry.watchers);
        entry.watchers.clear();
        watchers.forEach(watcher -> watcher.accept(result));
    }

    private void evictAnswers() {
        while (bytes > maxBytes && answered.size() > 1) {
            Entry oldest = entries.get(answered.poll());
            if (oldest != null) {
                bytes -= oldest.result.size();
                oldest.result = Result.UNKNOWN;
            }
        }
    }

    /** Removes claims past the retention time and the oldest beyond the limit; stops at one that is RUNNING. */
    void removeExpired(long nowMs) {
        Iterator<Map.Entry<ClaimId, Entry>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimId, Entry> next = oldest.next();
            Entry entry = next.getValue();
            boolean isExpired = nowMs - entry.claimedAtMs > retentionMs || entries.size() > maxEntries;
            if (!isExpired || entry.result == Result.RUNNING) {
                return;
            }
            oldest.remove();
            claims.remove(entry.names.byTenant(), next.getKey());
            claims.remove(entry.names.byCredential(), next.getKey());
            bytes -= entry.result.size();
            highestRemovedSequence =
                    Math.max(highestRemovedSequence, next.getKey().sequence());
        }
        while (!answered.isEmpty() && !entries.containsKey(answered.peek())) {
            answered.poll();
        }
    }

    /** Total size of the retained answers. */
    long bytes() {
        return bytes;
    }

    int size() {
        return entries.size();
    }
}
