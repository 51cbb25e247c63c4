package brambletray.relay.recovery;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The question of a relay that starts, to those that may have seen it: open until all have answered and the
 * last that they heard of is quiet, or the time-out has passed. Whatever is reported can only make it more careful:
 * of several reports the furthest counts.
 *
 * <p>What it can't know: a witness that was cut off from the relay before the end has an older report, and
 * if only such witnesses answer, a folder of the time between is taken for the newest.
 */
public final class GenerationInquiry {
    /** Heartbeats that have to be heard after the question before another process counts as alive. */
    static final int DUPLICATE_HEARTBEATS = 2;
    /** Missed heartbeats after which an incarnation counts as over. */
    static final int MISSED_HEARTBEATS = 3;

    /**
     * The times that an inquiry goes by.
     *
     * @param timeoutMs longest time to ask
     * @param heartbeatIntervalMs time between two heartbeats of a running relay
     * @param maxMessageLifetimeMs longest time limit of messages whose second attempt could do harm
     */
    public record Terms(long timeoutMs, long heartbeatIntervalMs, long maxMessageLifetimeMs) {}

    private final StoreFreshness own;
    private final Terms terms;
    private final long startedAtMs;
    private final WitnessReport[] reports;
    /** By witness: heartbeats when it first answered, and the incarnation that they are of. */
    private final WitnessReport.Seen[] firstReports;

    private FolderFinding finding;

    /** {@code own}: null for an empty folder; {@code now}: ms of a clock that only moves on. */
    public GenerationInquiry(StoreFreshness own, int witnesses, Terms terms, long now) {
        this.own = own;
        this.terms = terms;
        this.startedAtMs = now;
        this.reports = new WitnessReport[witnesses];
        this.firstReports = new WitnessReport.Seen[witnesses];
    }

    /** A witness has answered; null while the question is open. */
    public FolderFinding onReport(long now, int witness, WitnessReport report) {
        if (report instanceof WitnessReport.Seen seen && !seen.newest().isValid()) {
            return tick(now);
        }
        if (finding == null) {
            reports[witness] = laterOf(reports[witness], report);
            if (report instanceof WitnessReport.Seen seen) {
                detectDuplicate(witness, seen);
            }
        }
        return tick(now);
    }

    private static WitnessReport laterOf(WitnessReport former, WitnessReport candidate) {
        boolean keep = former instanceof WitnessReport.Seen formerSeen
                && !(candidate instanceof WitnessReport.Seen candidateSeen
                        && (formerSeen.newest().isBehind(candidateSeen.newest())
                                || formerSeen.newest().equals(candidateSeen.newest())));
        return keep ? former : candidate;
    }

    private void detectDuplicate(int witness, WitnessReport.Seen seen) {
        WitnessReport.Seen first = firstReports[witness];
        if (first == null
                || first.newest().incarnation() != seen.newest().incarnation()
                || first.newest().storeNumber() != seen.newest().storeNumber()) {
            firstReports[witness] = seen;
        } else if (seen.heartbeats() >= first.heartbeats() + DUPLICATE_HEARTBEATS) {
            finding = new FolderFinding.DuplicateProcess(seen.newest());
        }
    }

    /** Time has passed; null while the question is open. */
    public FolderFinding tick(long now) {
        boolean over = now - startedAtMs >= terms.timeoutMs();
        if (finding == null && (over || isComplete())) {
            finding = conclude();
        }
        return finding;
    }

    private List<WitnessReport.Seen> seenReports() {
        return Arrays.stream(reports)
                .filter(WitnessReport.Seen.class::isInstance)
                .map(WitnessReport.Seen.class::cast)
                .toList();
    }

    /** ms for which all witnesses can say that it did not run: what is lost with all folders is not seen. */
    private long witnessMemoryMs() {
        long least = Long.MAX_VALUE;
        for (WitnessReport report : reports) {
            least = Math.min(least, report instanceof WitnessReport.NotSeen never ? never.memoryMs() : 0);
        }
        return least;
    }

    private int answerCount() {
        return (int) Arrays.stream(reports).filter(Objects::nonNull).count();
    }

    private boolean isComplete() {
        return answerCount() == reports.length
                && seenReports().stream()
                        .allMatch(report -> report.ageMs() >= MISSED_HEARTBEATS * terms.heartbeatIntervalMs());
    }

    private FolderFinding conclude() {
        List<WitnessReport.Seen> seen = seenReports();
        StoreFreshness last = null;
        long age = terms.maxMessageLifetimeMs();
        for (WitnessReport.Seen report : seen) {
            last = last == null || last.isBehind(report.newest()) ? report.newest() : last;
            age = Math.min(age, report.ageMs());
        }
        long rest = Math.max(0, terms.maxMessageLifetimeMs() - age);
        if (own == null && last != null) {
            return new FolderFinding.Lost(last, rest);
        } else if (last != null && own.isBehind(last)) {
            return new FolderFinding.RolledBack(last, rest);
        } else if (own == null) {
            long unknown = terms.maxMessageLifetimeMs() - witnessMemoryMs();
            return unknown <= 0 ? new FolderFinding.NewRelay() : new FolderFinding.Unconfirmed(true, unknown);
        }
        // Of this relay and its witnesses a majority has to know of no later folder.
        return 2 * (answerCount() + 1) > reports.length + 1
                ? new FolderFinding.Current()
                : new FolderFinding.Unconfirmed(false, terms.maxMessageLifetimeMs());
    }

    /** The number of the incarnation that begins now: above all that were run or seen. */
    public long nextIncarnation() {
        long most = own == null ? 0 : own.incarnation();
        for (WitnessReport.Seen report : seenReports()) {
            most = Math.max(most, report.newest().incarnation());
        }
        return most + 1;
    }
}
