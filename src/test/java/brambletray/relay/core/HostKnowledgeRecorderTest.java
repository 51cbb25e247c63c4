package brambletray.relay.core;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Clock;
import brambletray.relay.control.Control;
import brambletray.relay.control.Relay;
import brambletray.relay.journal.HostKnowledgeJournal;
import brambletray.relay.membership.HostList;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Lives of one relay on one store, its module told what the last one knew. */
class HostKnowledgeRecorderTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private static final class FakeTime implements Ticker {
        long micros = 1_000_000;

        @Override
        public long nanoTime() {
            return micros * 1_000;
        }

        @Override
        public long initialNanoTime() {
            return 0;
        }

        @Override
        public void sleep(long delay, TimeUnit unit) {
            micros += unit.toMicros(delay);
        }
    }

    private static final Relay.Settings SETTINGS = new Relay.Settings(
            0,
            2,
            0,
            false,
            0.5,
            Relay.Weights.ROUGH,
            List.of(new Relay.MessageClass(
                    "read", 2 * SECOND, 60 * SECOND, 1, 0.3, Relay.Effect.SAFE, false, 0, false)),
            List.of(),
            List.of(new Relay.Kind(true, 1)),
            new Relay.Allowed(20, 1_000, 10, false, false, 1, 500 * MS, 15 * SECOND, 3 * SECOND),
            new Relay.Rules(250 * MS, 2, 3 * SECOND, 0.2, 12 * SECOND, 3 * SECOND, 0),
            new Relay.Prices(0.1, 0.01, 0, 0, List.of()));

    private final MemoryDisk disk = new MemoryDisk();
    private final FakeTime time = new FakeTime();

    /** One life: its store, list, module and evidence. */
    private final class RelayRun implements AutoCloseable {
        final Store store;
        final HostList hosts = new HostList(List.of("z"), List.of("k"));
        final Control control = new Control(3, SETTINGS);
        final HostKnowledgeRecorder recorder;
        final Map<String, Integer> attempts = new HashMap<>();
        int accepted;

        RelayRun() throws Exception {
            store = Store.open(disk, new Store.Options(1_000_000, Store.Promise.PROCESS, 1_000));
            recorder = new HostKnowledgeRecorder(
                    Clock.of(time, 0), control, hosts, new HostKnowledgeJournal(store), 12 * SECOND);
        }

        Relay.EndpointsListed update(long seq, boolean whole, String... hostsAndHealth) throws Wire.Malformed {
            List<String> entries = new ArrayList<>();
            for (String h : hostsAndHealth) {
                entries.add(
                        "{\"host\":\"" + h.split(" ")[0] + "\",\"dial\":\"127.0.0.1:1\",\"site\":\"z\",\"class\":\"k\","
                                + "\"block\":1,\"health\":\"" + h.split(" ")[1] + "\",\"share\":50}");
            }
            return hosts.update(Wire.decode(
                    "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}"));
        }

        List<Relay.Action> turn(List<Relay.Event> events) {
            List<Relay.Action> actions = control.turn(time.micros, events);
            sends(actions).forEach(s -> attempts.merge(s.id(), 1, Integer::sum));
            recorder.stageRetryAfterTimes(events);
            return actions;
        }

        void start(Relay.EndpointsListed known) {
            List<Relay.Event> events = new ArrayList<>(List.of(recorder.withLeavingHostsDraining(known)));
            events.addAll(recorder.restoredEvents());
            turn(events);
        }

        void onListed(Relay.EndpointsListed list) {
            List<Relay.Event> events = new ArrayList<>(List.of(list));
            events.addAll(recorder.onListed(list));
            turn(events);
        }

        /** A message comes in; the endpoint it is sent to, 0 for none. */
        List<Relay.Send> acceptMessage() {
            return sends(turn(List.of(new Relay.Accepted("m" + accepted++, 0, 0, null, time.micros + 60 * SECOND, 1))));
        }

        List<Relay.Send> advance(long span) {
            List<Relay.Send> sends = new ArrayList<>();
            for (long until = time.micros + span; time.micros < until; ) {
                time.micros += 10 * MS;
                sends.addAll(sends(turn(List.of(new Relay.TimerFired()))));
            }
            return sends;
        }

        void ended(Relay.Send send, Relay.Outcome outcome, long wait, double limit) {
            turn(List.of(new Relay.AttemptEnded(
                    send.id(),
                    attempts.get(send.id()) - 1,
                    send.endpoint(),
                    outcome,
                    false,
                    wait,
                    5 * MS,
                    limit > 0 ? 0.5 : -1,
                    limit,
                    true)));
        }

        long number(String host) {
            return hosts.hostNamed(host).number;
        }

        /** What is staged lasts, and the process ends. */
        @Override
        public void close() throws Exception {
            store.commit();
            recorder.onWritten(true);
            store.close();
        }
    }

    private static List<Relay.Send> sends(List<Relay.Action> actions) {
        return actions.stream()
                .filter(Relay.Send.class::isInstance)
                .map(Relay.Send.class::cast)
                .toList();
    }

    /** Rule 6: noted in the batch of the turn that heard it, for the next life's every message. */
    @Test
    void retryAfterTimeSurvivesRestart() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            life.ended(life.acceptMessage().get(0), Relay.Outcome.FULL, 3 * SECOND, 0);
        }
        long told = time.micros;
        time.micros += SECOND;
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            assertTrue(life.acceptMessage().isEmpty());
            assertTrue(life.advance(told + 3 * SECOND - time.micros - 20 * MS).isEmpty(), "the wait is not over");
            assertFalse(life.advance(2 * SECOND).isEmpty(), "it is over");
        }
    }

    /** Nothing is known of a host that no list names; once one does, it is. */
    @Test
    void knowledgeIsRestoredOnceTheHostIsListed() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready", "b ready"));
            for (int i = 0; i < 4; i++) {
                List<Relay.Send> sends = new ArrayList<>(life.acceptMessage());
                sends.addAll(life.advance(SECOND));
                sends.forEach(s -> life.ended(s, Relay.Outcome.FULL, 60 * SECOND, 0));
            }
            assertFalse(life.recorder.recordChanges(), "noted when it was heard");
        }
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "b ready"));
            life.recorder.recordChanges();
            life.onListed(life.update(2, false, "a ready"));
            assertTrue(
                    life.control.endpointKnowledge(life.number("b")).isUnhealthy(),
                    "its sibling was shut, and it was not heard from");
            assertTrue(life.control.endpointKnowledge(life.number("b")).retryAfter() > 40 * SECOND);
        }
    }

    /** Rule 4: killed while a host was failing, or warming up: the next life does not push it over. */
    @Test
    void failedHostIsProbedAndSlowStartedAfterRestart() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            life.advance(SECOND);
            for (int i = 0; i < 20 && !life.control.endpointKnowledge(life.number("a")).isUnhealthy(); i++) {
                List<Relay.Send> sends = new ArrayList<>(life.acceptMessage());
                sends.addAll(life.advance(SECOND));
                sends.forEach(s -> life.ended(s, Relay.Outcome.CONNECT_FAILED, 0, 0));
            }
            assertTrue(life.control.endpointKnowledge(life.number("a")).isUnhealthy());
            assertTrue(life.recorder.recordChanges());
        }
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            List<Relay.Send> trial = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                trial.addAll(life.acceptMessage());
            }
            trial.addAll(life.advance(2 * SECOND));
            assertEquals(1, trial.size(), "a trial");
            life.ended(trial.get(0), Relay.Outcome.OK, 0, 0);
            assertTrue(life.control.endpointKnowledge(life.number("a")).slowStartAge() >= 0);
            life.advance(SECOND);
            assertTrue(life.recorder.recordChanges());
        }
        time.micros += 2 * SECOND;
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            long warming = life.control.endpointKnowledge(life.number("a")).slowStartAge();
            assertTrue(warming >= 3 * SECOND && warming < 4 * SECOND, "goes on warming up: " + warming);
            for (int i = 0; i < 20; i++) {
                life.acceptMessage();
            }
            assertTrue(life.advance(SECOND).size() <= 12, "within what a cold host bears");
        }
    }

    @Test
    void reportedLimitSurvivesRestart() throws Exception {
        double pace;
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            life.ended(life.acceptMessage().get(0), Relay.Outcome.OK, 0, 10);
            pace = life.control.endpointKnowledge(life.number("a")).pace();
            assertTrue(life.recorder.recordChanges());
        }
        time.micros += 2 * SECOND;
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            assertEquals(10, life.control.endpointKnowledge(life.number("a")).limit());
            assertEquals(pace, life.control.endpointKnowledge(life.number("a")).pace());
        }
    }

    /** Rule 3: the list that a start begins with is older than the drain that was heard. */
    @Test
    void leavingHostStaysOutUntilACurrentListArrives() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(4, true, "a ready", "b ready", "c ready"));
            life.onListed(life.update(5, false, "a draining", "b gone"));
        }
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(4, true, "a ready", "b ready", "c ready"));
            for (int i = 0; i < 6; i++) {
                life.acceptMessage().forEach(s -> assertEquals(life.number("c"), s.endpoint()));
            }
            assertTrue(life.advance(5 * SECOND).stream().allMatch(s -> s.endpoint() == life.number("c")));
            assertFalse(life.hosts.hostNamed("a").ready, "a call that waits for its connection does not go out");
            life.onListed(life.update(6, false, "a draining"));
            assertFalse(life.hosts.hostNamed("a").ready);
            assertTrue(life.hosts.hostNamed("b").ready, "the platform has spoken, and not of it");
        }
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(7, true, "a ready", "b ready"));
            assertTrue(life.hosts.hostNamed("a").ready, "a later list");
            assertTrue(life.hosts.hostNamed("b").ready);
        }
    }

    /** A batch that failed has told the store nothing. */
    @Test
    void entryOfAFailedBatchIsRecordedAgain() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            life.ended(life.acceptMessage().get(0), Relay.Outcome.FULL, 30 * SECOND, 0);
            life.recorder.onWritten(false);
            assertTrue(life.recorder.recordChanges());
            life.recorder.onWritten(true);
            assertFalse(life.recorder.recordChanges());
        }
    }

    /** Hosts that come and go all day leave a bounded trace. */
    @Test
    void goneHostsAreEventuallyForgotten() throws Exception {
        try (RelayRun life = new RelayRun()) {
            life.start(life.update(1, true, "a ready"));
            for (int i = 0; i < 1_000; i++) {
                String host = "h" + i;
                life.onListed(life.update(2 + 2L * i, false, host + " ready"));
                life.onListed(life.update(3 + 2L * i, false, host + " gone"));
                Host gone = life.hosts.hostNamed(host);
                life.hosts.forget(gone);
                life.recorder.onForgotten(gone);
                life.store.commit();
                life.recorder.onWritten(true);
            }
        }
        try (RelayRun life = new RelayRun()) {
            assertTrue(
                    life.store.chains(HostKnowledgeJournal.SPACE).size() <= 70,
                    "" + life.store.chains(HostKnowledgeJournal.SPACE).size());
        }
    }
}
