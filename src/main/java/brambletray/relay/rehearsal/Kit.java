package brambletray.relay.rehearsal;

import brambletray.relay.rehearsal.Rehearsal.Play;
import brambletray.relay.serve.Config;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Plays nights over seeds, several at once: each is a simulation of its own, so that how many changes
 * nothing.
 */
public final class Kit {
    private Kit() {}

    /** What happened to the first messages, so many at most, with which a rule was broken in a night. */
    public static List<Story> stories(Verdict verdict, int most, Path folder) throws IOException, Config.Unusable {
        List<Story> stories = new ArrayList<>();
        for (Verdict.Subject subject :
                verdict.subjects().stream().distinct().limit(most).toList()) {
            Path own = folder.resolve(verdict.night().script().name() + "-story-" + stories.size());
            stories.add(
                    Rehearsal.story(verdict.night(), subject.seed(), subject.message(), Files.createDirectories(own)));
        }
        return stories;
    }

    /** Seeds 1 to {@code seeds}; {@code folder}: for configurations; {@code whenJudged}: each in its turn. */
    public static List<Verdict> play(
            List<Night> nights, int seeds, int threads, Path folder, Consumer<Verdict> whenJudged) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<List<Future<Play>>> plays = new ArrayList<>();
            for (Night night : nights) {
                List<Future<Play>> ofNight = new ArrayList<>();
                for (int seed = 1; seed <= seeds; seed++) {
                    long with = seed;
                    Path own = folder.resolve(night.script().name() + "-" + plays.size() + "-" + seed);
                    ofNight.add(pool.submit(() -> Rehearsal.play(night, with, Files.createDirectories(own))));
                }
                plays.add(ofNight);
            }
            List<Verdict> verdicts = new ArrayList<>();
            for (int n = 0; n < nights.size(); n++) {
                List<Play> done = new ArrayList<>();
                for (Future<Play> play : plays.get(n)) {
                    done.add(play.get());
                }
                Verdict verdict = Verdict.of(nights.get(n), done);
                verdicts.add(verdict);
                whenJudged.accept(verdict);
            }
            return verdicts;
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        } finally {
            pool.shutdownNow();
        }
    }
}
