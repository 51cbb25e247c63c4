package brambletray.relay.rehearsal;

import brambletray.relay.emulator.Ledger;
import brambletray.relay.rehearsal.Rehearsal.Play;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Whether a build may go into service, by one night over several seeds: no rule broken with any of them, and
 * the middle score within the night's bound. The middle of an odd number of seeds that are always the same is
 * not luck; one seed on the edge does not turn it.
 */
public record Verdict(Night night, List<Play> plays, List<String> faults, List<Subject> subjects) {
    private static final int TOLD_MOST = 20;

    /** A message with which a rule was broken, and the seed of the play: its story can be told. */
    public record Subject(long seed, String message) {}

    static Verdict of(Night night, List<Play> plays) {
        List<String> faults = new ArrayList<>();
        List<Subject> subjects = new ArrayList<>();
        for (Play play : plays) {
            for (Ledger.Breach breach :
                    play.result().breaches().stream().limit(TOLD_MOST).toList()) {
                faults.add(String.format(
                        Locale.ROOT,
                        "seed %d: %s at %.3f s: message %s from %s to %s, %s",
                        play.seed(),
                        breach.rule().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        breach.at() / 1e9,
                        breach.message(),
                        breach.caller(),
                        breach.endpoint(),
                        breach.detail()));
                if (!breach.message().isEmpty()) {
                    subjects.add(new Subject(play.seed(), breach.message()));
                }
            }
            for (String id : play.result().lost().stream().limit(TOLD_MOST).toList()) {
                faults.add("seed " + play.seed() + ": message " + id + " was taken on and had no end in time");
                subjects.add(new Subject(play.seed(), id));
            }
        }
        for (Play play : plays) {
            Rehearsal.Use use = play.use();
            use.disagreements().forEach(told -> faults.add("seed " + play.seed() + ": " + told));
            if (use.connections() > night.most().connections()) {
                faults.add("seed " + play.seed() + ": a relay had " + use.connections()
                        + " connections open at once: expected " + night.most().connections() + " at most");
            }
            if (use.disk() > night.most().disk()) {
                faults.add("seed " + play.seed() + ": a relay's folder held " + use.disk() + " bytes: expected "
                        + night.most().disk() + " at most");
            }
        }
        double middle = middle(plays);
        if (middle < night.least()) {
            faults.add(String.format(
                    Locale.ROOT,
                    "the middle score of %d seeds is %.3f: expected %.3f at least",
                    plays.size(),
                    middle,
                    night.least()));
        }
        return new Verdict(night, List.copyOf(plays), List.copyOf(faults), List.copyOf(subjects));
    }

    static double middle(List<Play> plays) {
        List<Double> scores = plays.stream()
                .map(play -> play.result().score())
                .sorted(Comparator.naturalOrder())
                .toList();
        return scores.get((scores.size() - 1) / 2);
    }

    public boolean passed() {
        return faults.isEmpty();
    }
}
