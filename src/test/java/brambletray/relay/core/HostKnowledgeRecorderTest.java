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

/** Successive runs of one relay on one store; each run restores what the previous one knew of its hosts. */
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

    /** One run of the relay, with its store, host list, control module and recorder. */
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

        Relay.EndpointsListed update(long seq, boolean full, String... hostsAndHealth) throws Wire.Malformed {
            List<String> entries = new ArrayList<>();
            for (String hostAndHealth : hostsAndHealth) {
                entries.add("{\"host\":\"" + hostAndHealth.split(" ")[0]
                        + "\",\"dial\":\"127.0.0.1:1\",\"site\":\"z\",\"class\":\"k\"," + "\"block\":1,\"health\":\""
                        + hostAndHealth.split(" ")[1] + "\",\"share\":50}");
            }
            return hosts.update(Wire.decode(
                    "{\"seq\":" + seq + ",\"whole\":" + full + ",\"hosts\":[" + String.join(",", entries) + "]}"));
        }

        List<Relay.Action> turn(List<Relay.Event> events) {
            List<Relay.Action> actions = control.turn(time.micros, events);
            sends(actions).forEach(s -> attempts.merge(s.id(), 1, Integer::sum));
            recorder.stageRetryAfterTimes(events);
            return actions;
        }

        void start(Relay.EndpointsListed lastKnownList) {
            List<Relay.Event> events = new ArrayList<>(List.of(recorder.withLeavingHostsDraining(lastKnownList)));
            events.addAll(recorder.restoredEvents());
            turn(events);
        }

        void onListed(Relay.EndpointsListed list) {
            List<Relay.Event> events = new ArrayList<>(List.of(list));
            events.addAll(recorder.onListed(list));
            turn(events);
        }

        /** Accepts a message; returns the sends of that turn. */
        List<Relay.Send> acceptMessage() {
            return sends(turn(List.of(new Relay.Accepted("m" + accepted++, 0, 0, null, time.micros + 60 * SECOND, 1))));
        }

        List<Relay.Send> advance(long spanUs) {
            List<Relay.Send> sends = new ArrayList<>();
            for (long until = time.micros + spanUs; time.micros < until; ) {
                time.micros += 10 * MS;
                sends.addAll(sends(turn(List.of(new Relay.TimerFired()))));
            }
            return sends;
        }

        void ended(Relay.Send send, Relay.Outcome outcome, long retryAfter, double limit) {
            turn(List.of(new Relay.AttemptEnded(
                    send.id(),
                    attempts.get(send.id()) - 1,
                    send.endpoint(),
                    outcome,
                    false,
                    retryAfter,
                    5 * MS,
                    limit > 0 ? 0.5 : -1,
                    limit,
                    true)));
        }

        long number(String host) {
            return hosts.hostNamed(host).number;
        }

        /** Commits what is staged and ends the run. */
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

    /** Rule 6: a retry-after time is staged in the batch of its turn and applies to all messages of the next run. */
    @Test
    void retryAfterTimeSurvivesRestart() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            run.ended(run.acceptMessage().get(0), Relay.Outcome.FULL, 3 * SECOND, 0);
        }
        long receivedAt = time.micros;
        time.micros += SECOND;
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            assertTrue(run.acceptMessage().isEmpty());
            assertTrue(
                    run.advance(receivedAt + 3 * SECOND - time.micros - 20 * MS).isEmpty(),
                    "sent before the retry-after time has passed");
            assertFalse(run.advance(2 * SECOND).isEmpty(), "not sent after the retry-after time has passed");
        }
    }

    /** Recorded knowledge of a host is passed to the control module when a list names the host, not before. */
    @Test
    void knowledgeIsRestoredOnceTheHostIsListed() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready", "b ready"));
            for (int i = 0; i < 4; i++) {
                List<Relay.Send> sends = new ArrayList<>(run.acceptMessage());
                sends.addAll(run.advance(SECOND));
                sends.forEach(s -> run.ended(s, Relay.Outcome.FULL, 60 * SECOND, 0));
            }
            assertFalse(run.recorder.recordChanges(), "already staged when the reply arrived");
        }
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "b ready"));
            run.recorder.recordChanges();
            run.onListed(run.update(2, false, "a ready"));
            assertTrue(
                    run.control.endpointKnowledge(run.number("b")).isUnhealthy(),
                    "its sibling is in a retry-after time, and it has not replied");
            assertTrue(run.control.endpointKnowledge(run.number("b")).retryAfter() > 40 * SECOND);
        }
    }

    /** Rule 4: a relay killed while a host fails or is in slow start must not overload that host in its next run. */
    @Test
    void failedHostIsProbedAndSlowStartedAfterRestart() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            run.advance(SECOND);
            for (int i = 0;
                    i < 20 && !run.control.endpointKnowledge(run.number("a")).isUnhealthy();
                    i++) {
                List<Relay.Send> sends = new ArrayList<>(run.acceptMessage());
                sends.addAll(run.advance(SECOND));
                sends.forEach(s -> run.ended(s, Relay.Outcome.CONNECT_FAILED, 0, 0));
            }
            assertTrue(run.control.endpointKnowledge(run.number("a")).isUnhealthy());
            assertTrue(run.recorder.recordChanges());
        }
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            List<Relay.Send> probes = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                probes.addAll(run.acceptMessage());
            }
            probes.addAll(run.advance(2 * SECOND));
            assertEquals(1, probes.size(), "exactly one probe");
            run.ended(probes.get(0), Relay.Outcome.OK, 0, 0);
            assertTrue(run.control.endpointKnowledge(run.number("a")).slowStartAge() >= 0);
            run.advance(SECOND);
            assertTrue(run.recorder.recordChanges());
        }
        time.micros += 2 * SECOND;
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            long slowStartAge = run.control.endpointKnowledge(run.number("a")).slowStartAge();
            assertTrue(
                    slowStartAge >= 3 * SECOND && slowStartAge < 4 * SECOND, "slow start continues: " + slowStartAge);
            for (int i = 0; i < 20; i++) {
                run.acceptMessage();
            }
            assertTrue(run.advance(SECOND).size() <= 12, "within the slow-start limit");
        }
    }

    @Test
    void reportedLimitSurvivesRestart() throws Exception {
        double pace;
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            run.ended(run.acceptMessage().get(0), Relay.Outcome.OK, 0, 10);
            pace = run.control.endpointKnowledge(run.number("a")).pace();
            assertTrue(run.recorder.recordChanges());
        }
        time.micros += 2 * SECOND;
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            assertEquals(10, run.control.endpointKnowledge(run.number("a")).limit());
            assertEquals(pace, run.control.endpointKnowledge(run.number("a")).pace());
        }
    }

    /** Rule 3: the last known list at a start may be older than a drain that the previous run has received. */
    @Test
    void leavingHostStaysOutUntilACurrentListArrives() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(4, true, "a ready", "b ready", "c ready"));
            run.onListed(run.update(5, false, "a draining", "b gone"));
        }
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(4, true, "a ready", "b ready", "c ready"));
            for (int i = 0; i < 6; i++) {
                run.acceptMessage().forEach(s -> assertEquals(run.number("c"), s.endpoint()));
            }
            assertTrue(run.advance(5 * SECOND).stream().allMatch(s -> s.endpoint() == run.number("c")));
            assertFalse(run.hosts.hostNamed("a").ready, "a call that waits for a connection must not be sent");
            run.onListed(run.update(6, false, "a draining"));
            assertFalse(run.hosts.hostNamed("a").ready);
            assertTrue(run.hosts.hostNamed("b").ready, "the platform's first list does not mention it");
        }
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(7, true, "a ready", "b ready"));
            assertTrue(run.hosts.hostNamed("a").ready, "ready in a later list");
            assertTrue(run.hosts.hostNamed("b").ready);
        }
    }

    /** Entries of a failed batch are not in the store. */
    @Test
    void entryOfAFailedBatchIsRecordedAgain() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            run.ended(run.acceptMessage().get(0), Relay.Outcome.FULL, 30 * SECOND, 0);
            run.recorder.onWritten(false);
            assertTrue(run.recorder.recordChanges());
            run.recorder.onWritten(true);
            assertFalse(run.recorder.recordChanges());
        }
    }

    /** Host churn leaves a bounded number of records in the store. */
    @Test
    void goneHostsAreEventuallyForgotten() throws Exception {
        try (RelayRun run = new RelayRun()) {
            run.start(run.update(1, true, "a ready"));
            for (int i = 0; i < 1_000; i++) {
                String host = "h" + i;
                run.onListed(run.update(2 + 2L * i, false, host + " ready"));
                run.onListed(run.update(3 + 2L * i, false, host + " gone"));
                Host gone = run.hosts.hostNamed(host);
                run.hosts.forget(gone);
                run.recorder.onForgotten(gone);
                run.store.commit();
                run.recorder.onWritten(true);
            }
        }
        try (RelayRun run = new RelayRun()) {
            assertTrue(
                    run.store.chains(HostKnowledgeJournal.SPACE).size() <= 70,
                    "" + run.store.chains(HostKnowledgeJournal.SPACE).size());
        }
    }
}
