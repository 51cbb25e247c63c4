package brambletray.relay.recovery;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The question of a relay that starts, to those that may have seen it: open until all have answered and the
 * last that they heard is quiet, or the patience is over. All that is told can only make it more careful:
 * of several accounts the furthest counts.
 *
 * <p>What it can't know: a witness that was cut off from the relay before the end has an older account, and
 * if only such witnesses answer, a folder of the time between is taken for the newest.
 */
public final class GenerationInquiry {
    /** Beats that have to be heard after the question before another process counts as alive. */
    static final int TWIN_BEATS = 2;
    /** Beats without a word after which a life counts as over. */
    static final int QUIET_BEATS = 3;

    /** @param patience ms; longest time to ask
     *  @param beat ms between two beats of a relay that lives
     *  @param longest ms; longest time limit of messages whose second try could do harm */
    public record Terms(long patience, long beat, long longest) {}

    private final StoreFreshness own;
    private final Terms terms;
    private final long began;
    private final WitnessReport[] accounts;
    /** By witness: beats when it first answered, and the life that they are of. */
    private final WitnessReport.Seen[] firsts;

    private FolderFinding found;

    /** {@code own}: null for an empty folder; {@code now}: ms of a clock that only moves on. */
    public GenerationInquiry(StoreFreshness own, int witnesses, Terms terms, long now) {
        this.own = own;
        this.terms = terms;
        this.began = now;
        this.accounts = new WitnessReport[witnesses];
        this.firsts = new WitnessReport.Seen[witnesses];
    }

    /** A witness has answered; null while the question is open. */
    public FolderFinding told(long now, int witness, WitnessReport account) {
        if (account instanceof WitnessReport.Seen seen && !seen.last().sensible()) {
            return due(now);
        }
        if (found == null) {
            accounts[witness] = further(accounts[witness], account);
            if (account instanceof WitnessReport.Seen seen) {
                alive(witness, seen);
            }
        }
        return due(now);
    }

    private static WitnessReport further(WitnessReport former, WitnessReport told) {
        boolean keep = former instanceof WitnessReport.Seen f
                && !(told instanceof WitnessReport.Seen t
                        && (f.last().behind(t.last()) || f.last().equals(t.last())));
        return keep ? former : told;
    }

    private void alive(int witness, WitnessReport.Seen seen) {
        WitnessReport.Seen first = firsts[witness];
        if (first == null
                || first.last().life() != seen.last().life()
                || first.last().store() != seen.last().store()) {
            firsts[witness] = seen;
        } else if (seen.beats() >= first.beats() + TWIN_BEATS) {
            found = new FolderFinding.Twin(seen.last());
        }
    }

    /** Time has passed; null while the question is open. */
    public FolderFinding due(long now) {
        boolean over = now - began >= terms.patience();
        if (found == null && (over || complete())) {
            found = conclude();
        }
        return found;
    }

    private List<WitnessReport.Seen> sightings() {
        return Arrays.stream(accounts)
                .filter(WitnessReport.Seen.class::isInstance)
                .map(WitnessReport.Seen.class::cast)
                .toList();
    }

    /** ms for which all witnesses can say that it did not live: what is lost with all folders is not seen. */
    private long memory() {
        long least = Long.MAX_VALUE;
        for (WitnessReport account : accounts) {
            least = Math.min(least, account instanceof WitnessReport.Never never ? never.memory() : 0);
        }
        return least;
    }

    private int answers() {
        return (int) Arrays.stream(accounts).filter(Objects::nonNull).count();
    }

    private boolean complete() {
        return answers() == accounts.length
                && sightings().stream().allMatch(s -> s.age() >= QUIET_BEATS * terms.beat());
    }

    private FolderFinding conclude() {
        List<WitnessReport.Seen> seen = sightings();
        StoreFreshness last = null;
        long age = terms.longest();
        for (WitnessReport.Seen s : seen) {
            last = last == null || last.behind(s.last()) ? s.last() : last;
            age = Math.min(age, s.age());
        }
        long rest = Math.max(0, terms.longest() - age);
        if (own == null && last != null) {
            return new FolderFinding.Lost(last, rest);
        } else if (last != null && own.behind(last)) {
            return new FolderFinding.RolledBack(last, rest);
        } else if (own == null) {
            long unknown = terms.longest() - memory();
            return unknown <= 0 ? new FolderFinding.First() : new FolderFinding.Unconfirmed(true, unknown);
        }
        // Of this relay and its witnesses a majority has to know of no later folder.
        return 2 * (answers() + 1) > accounts.length + 1
                ? new FolderFinding.Continues()
                : new FolderFinding.Unconfirmed(false, terms.longest());
    }

    /** The number of the life that begins now: above all that was lived or seen. */
    public long nextLife() {
        long most = own == null ? 0 : own.life();
        for (WitnessReport.Seen s : sightings()) {
            most = Math.max(most, s.last().life());
        }
        return most + 1;
    }
}
