package brambletray.platform.controlplane;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Judges a scenario by what its operators saw on their calls, as the pages put it: of all changes on one version one
 * prevails, a number means one configuration, what was taken is acknowledged again or left unclear, what was refused or
 * invalid is never active, no proper order is refused but for another version that is in place, and nobody reads what
 * is older than what had been acknowledged when it asked.
 */
final class OperatorCallsChecker {
    private final Map<Long, OperatorCallsModel.Written> byBase = new HashMap<>();
    private final Map<Long, OperatorCallsModel.Written> byRevision = new HashMap<>();
    private final Map<Long, Integer> marks = new HashMap<>();
    private final Map<Integer, OperatorCallsModel.Written> written = new HashMap<>();
    private final Map<OperatorCallsModel.Written, Long> sentAt = new HashMap<>();
    private final Map<OperatorCallsModel.Written, Integer> refusals = new HashMap<>();
    private final Map<OperatorCallsModel.Written, Long> refusedAt = new HashMap<>();
    /** When it was first known to an operator that so high a revision is active. */
    private final Map<Long, Long> knownAt = new HashMap<>();

    private final Set<OperatorCallsModel.Written> confirmed = new HashSet<>();

    private static void must(boolean holds, String why) {
        if (!holds) {
            throw new AssertionError(why);
        }
    }

    void sent(OperatorCallsModel.Written change, long at) {
        written.put(change.mark(), change);
        sentAt.put(change, at);
    }

    boolean refused(OperatorCallsModel.Written change) {
        return refusals.containsKey(change);
    }

    int confirmed() {
        return confirmed.size();
    }

    void answered(OperatorCallsModel.Written change, int status, long at) {
        if (status == 200) {
            must(change.valid(), "invalid and acknowledged: " + change);
            must(
                    !refusals.containsKey(change),
                    "refused with " + refusals.get(change) + ", then acknowledged: " + change);
            taken(change, at);
            confirmed.add(change);
            return;
        }
        must(status == 412 || status == 400, "answered " + status + ": " + change);
        must(!confirmed.contains(change), "acknowledged, then refused with " + status + ": " + change);
        must(!change.equals(byBase.get(change.base())), "in force, then refused with " + status + ": " + change);
        must(status == 412 || !change.valid(), "valid and refused with 400: " + change);
        refusals.put(change, status);
        refusedAt.put(change, at);
        must(
                status == 400 || rival(change, at),
                "refused with 412 though nobody else had sent a change on that version: " + change);
    }

    private boolean rival(OperatorCallsModel.Written change, long at) {
        return sentAt.entrySet().stream()
                .anyMatch(one -> one.getKey() != change
                        && one.getKey().valid()
                        && one.getKey().base() == change.base()
                        && one.getValue() < at
                        && !refusals.containsKey(one.getKey()));
    }

    /** This change is known to be, or to have been, active. */
    private void taken(OperatorCallsModel.Written change, long at) {
        OperatorCallsModel.Written other = byBase.putIfAbsent(change.base(), change);
        must(other == null || other.equals(change), "two on one version: " + other + " and " + change);
        other = byRevision.putIfAbsent(change.revision(), change);
        must(other == null || other.equals(change), "two under one number: " + other + " and " + change);
        knownAt.putIfAbsent(change.revision(), at);
    }

    void shown(long revision, int mark, long askedAt, long at) {
        Integer before = marks.putIfAbsent(revision, mark);
        must(
                before == null || before == mark,
                "revision " + revision + " was shown with " + before + " and with " + mark);
        knownAt.forEach((known, when) -> must(
                known <= revision || when > askedAt,
                "shown " + revision + ", asked at " + askedAt + "; " + known + " was known at " + when));
        if (revision == 0) {
            return;
        }
        OperatorCallsModel.Written change = written.get(mark);
        must(change != null && change.revision() == revision, "shown " + revision + " as nobody sent it, mark " + mark);
        must(change.valid(), "invalid and in force: " + change);
        must(!refusals.containsKey(change), "refused with " + refusals.get(change) + " and in force: " + change);
        taken(change, at);
    }

    /** After calm: the last one has to be through, and each one active builds on one that was, or may have been. */
    void end(OperatorCallsModel.Written last) {
        must(
                confirmed.contains(last),
                "not acknowledged though all was calm: " + last + ", refused: " + refusals.get(last));
        refusedAt.forEach((change, at) -> {
            OperatorCallsModel.Written other = byBase.get(change.base());
            boolean proper = change.valid() && refusals.get(change) == 412;
            must(
                    !proper || (other == null ? rival(change, at) : sentAt.get(other) < at),
                    "refused with 412 before there was another: " + change);
        });
        for (OperatorCallsModel.Written change : byBase.values()) {
            for (OperatorCallsModel.Written other : byBase.values()) {
                must(
                        other.base() >= change.revision() || change.base() >= other.revision() || other == change,
                        "no line: " + change + " and " + other);
            }
        }
    }
}
