package brambletray.relay.rehearsal;

import brambletray.relay.serve.Config;
import brambletray.relay.stage.Score;
import brambletray.relay.stage.SimStage;
import brambletray.relay.store.MemoryDisk;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;

/** Plays nights in simulated time. */
public final class Rehearsal {
    /**
     * What one night with one seed came to.
     *
     * @param trace of all that passed on the network: the same for the same build, night and seed
     */
    public record Play(long seed, Score.Result result, long trace, Use use) {
        /** True when no rule was broken. */
        public boolean clean() {
            return result.clean();
        }
    }

    /**
     * What the relay that used most of it used: connections open at once, both ways, and bytes in its folder;
     * and where its loop, module and journal did not hold the same messages.
     */
    public record Use(int connections, long disk, List<String> disagreements) {
        /** A bound on what relays may use. */
        Use(int connections, long disk) {
            this(connections, disk, List.of());
        }
    }

    private record Due(long at, int relay, boolean down, boolean front, RelayEvent event) {}

    private Rehearsal() {}

    /** Plays a night; {@code folder}: for the relays' configurations. */
    public static Play play(Night night, long seed, Path folder) throws IOException, Config.Unusable {
        return play(night, seed, folder, UnaryOperator.identity(), null);
    }

    /** Plays it once more, with an eye on one message. */
    static Story story(Night night, long seed, String message, Path folder) throws IOException, Config.Unusable {
        Story story = new Story(message);
        play(night, seed, folder, UnaryOperator.identity(), story);
        return story;
    }

    /**
     * {@code told}: what becomes of each relay's configuration before it reads it; {@code story}: told of
     * what happens, null for nobody.
     */
    static Play play(Night night, long seed, Path folder, UnaryOperator<String> told, Story story)
            throws IOException, Config.Unusable {
        try (SimStage stage = new SimStage(night.script(), seed, folder, told)) {
            if (story != null) {
                stage.scene().ledger().witness(story);
            }
            for (Due due : plan(night)) {
                stage.runUntil(due.at);
                if (story != null && !due.front) {
                    story.relay(
                            due.at,
                            "relay " + due.relay,
                            due.down
                                    ? due.event
                                            .what()
                                            .name()
                                            .toLowerCase(Locale.ROOT)
                                            .replace('_', ' ')
                                    : "started again");
                }
                if (due.front) {
                    stage.scene().alive(due.relay, !due.down);
                } else if (due.down && due.event.what() == RelayEvent.What.KILL_AFTER_WRITE) {
                    stage.killAfterWrite(due.relay, due.event.number());
                } else if (due.down && due.event.what() == RelayEvent.What.KILL_AFTER_SENT) {
                    stage.killAfterSent(due.relay, due.event.number());
                } else if (due.down) {
                    stage.kill(due.relay);
                    if (due.event.what() == RelayEvent.What.KILL_AND_LOSE_FOLDER) {
                        stage.disk(due.relay, new MemoryDisk());
                    }
                } else {
                    stage.restart(due.relay);
                }
            }
            Score.Result result = stage.play();
            return new Play(
                    seed,
                    result,
                    stage.simulation().trace(),
                    new Use(stage.mostConnections(), stage.mostDisk(), stage.disagreements()));
        }
    }

    /** Deaths, returns, and the front's knowledge of them, in order; what falls together, by relay. */
    private static List<Due> plan(Night night) {
        List<Due> plan = new ArrayList<>();
        for (RelayEvent relayEvent : night.relayEvents()) {
            for (int relay = 0; relay < night.script().fleet().relays(); relay++) {
                if (relayEvent.relay() == -1 || relayEvent.relay() == relay) {
                    plan.add(new Due(relayEvent.at(), relay, true, false, relayEvent));
                    plan.add(new Due(relayEvent.at() + night.noticed(), relay, true, true, relayEvent));
                    plan.add(new Due(relayEvent.at() + relayEvent.backAfter(), relay, false, false, relayEvent));
                    plan.add(new Due(
                            relayEvent.at() + relayEvent.backAfter() + night.noticed(),
                            relay,
                            false,
                            true,
                            relayEvent));
                }
            }
        }
        plan.sort(Comparator.comparingLong(Due::at).thenComparingInt(Due::relay).thenComparing(Due::front));
        return plan;
    }
}
