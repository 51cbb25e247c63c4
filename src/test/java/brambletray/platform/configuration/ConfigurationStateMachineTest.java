package brambletray.platform.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Agreement between members: only one of two changes on the same base is applied, a repeated change gets the same
 * answer, and all members reach the same state.
 */
class ConfigurationStateMachineTest {
    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();

    private static byte[] moveRoute(long revision, String service) {
        String route = SampleConfigurations.route("r1", "h.example", "/one/", service);
        return SampleConfigurations.bytes("{'revision':" + revision + ",'upsert':{'routes':[" + route + "]}}");
    }

    private byte[] evaluateProposable(ChangeKind kind, long base, byte[] body) {
        return assertInstanceOf(ChangeDecision.Proposable.class, stateMachine.evaluate(kind, base, body))
                .encodedChange();
    }

    private void applyChange(ChangeKind kind, long base, byte[] body) {
        assertInstanceOf(ChangeDecision.Applied.class, stateMachine.apply(evaluateProposable(kind, base, body)));
    }

    @Test
    void firstChangeBuildsOnRevisionZero() {
        assertEquals(
                new ChangeDecision.Stale(0),
                stateMachine.evaluate(
                        ChangeKind.REPLACE, 5, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7))));
        byte[] change = evaluateProposable(
                ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7)));
        assertEquals(0, stateMachine.configuration().revision(), "evaluating does not apply");
        assertEquals(
                7,
                assertInstanceOf(ChangeDecision.Applied.class, stateMachine.apply(change))
                        .configuration()
                        .revision());
        assertEquals(7, stateMachine.configuration().revision());
    }

    @Test
    void onlyOneOfTwoChangesOnTheSameBaseIsApplied() {
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7)));
        byte[] one = evaluateProposable(ChangeKind.MODIFY, 7, moveRoute(9, "b"));
        byte[] other = evaluateProposable(
                ChangeKind.REPLACE, 7, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(12)));
        assertInstanceOf(ChangeDecision.Applied.class, stateMachine.apply(one));
        assertEquals(new ChangeDecision.Stale(9), stateMachine.apply(other));
        assertEquals(9, stateMachine.configuration().revision());
        assertEquals(
                new ChangeDecision.Stale(9),
                stateMachine.evaluate(
                        ChangeKind.REPLACE, 7, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(12))));
    }

    @Test
    void repeatedChangeIsAnsweredAsAlreadyApplied() {
        byte[] first = SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7));
        applyChange(ChangeKind.REPLACE, 0, first);
        byte[] twice = evaluateProposable(ChangeKind.MODIFY, 7, moveRoute(9, "b"));
        assertInstanceOf(ChangeDecision.Applied.class, stateMachine.apply(twice));
        assertEquals(new ChangeDecision.AlreadyApplied(9), stateMachine.apply(twice), "proposed by two members");
        applyChange(ChangeKind.MODIFY, 9, moveRoute(11, "a"));
        assertEquals(new ChangeDecision.AlreadyApplied(7), stateMachine.evaluate(ChangeKind.REPLACE, 0, first));
        assertEquals(
                new ChangeDecision.AlreadyApplied(9), stateMachine.evaluate(ChangeKind.MODIFY, 7, moveRoute(9, "b")));
        assertEquals(
                new ChangeDecision.Stale(11),
                stateMachine.evaluate(ChangeKind.REPLACE, 7, first),
                "same body on another base");
        assertEquals(
                new ChangeDecision.Stale(11),
                stateMachine.evaluate(ChangeKind.REPLACE, 9, moveRoute(11, "a")),
                "same body with another kind");
        assertEquals(11, stateMachine.configuration().revision());
    }

    @Test
    void invalidChangesLeaveTheStateUnchanged() {
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7)));
        byte[] before = stateMachine.snapshot();
        ChangeDecision.Invalid invalid = assertInstanceOf(
                ChangeDecision.Invalid.class, stateMachine.evaluate(ChangeKind.MODIFY, 7, moveRoute(9, "z")));
        assertEquals("configuration.unknown-service", invalid.error().code());
        assertInstanceOf(
                ChangeDecision.Invalid.class,
                stateMachine.evaluate(
                        ChangeKind.REPLACE, 7, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7))));
        assertInstanceOf(
                ChangeDecision.Invalid.class,
                stateMachine.evaluate(ChangeKind.REPLACE, 7, new byte[ConfigurationJson.MAX_BODY_BYTES + 1]));
        assertInstanceOf(
                ChangeDecision.Invalid.class,
                stateMachine.apply(new ConfigurationChange(ChangeKind.MODIFY, 7, moveRoute(9, "z")).encode()));
        assertInstanceOf(ChangeDecision.Invalid.class, stateMachine.apply(new byte[] {9, 9, 9}));
        assertArrayEquals(before, stateMachine.snapshot());
        applyChange(ChangeKind.MODIFY, 7, moveRoute(9, "b"));
    }

    /**
     * Random changes, about half of them stale or invalid, at three members: one that also evaluates, one that only
     * applies, and one that is restored from a snapshot midway.
     */
    @Test
    void allMembersReachTheSameState() {
        long seed = 20_260_417;
        Random random = new Random(seed);
        ConfigurationStateMachine follower = new ConfigurationStateMachine();
        ConfigurationStateMachine restored = null;
        List<byte[]> changes = new ArrayList<>();
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(1)));
        follower.apply(new ConfigurationChange(
                        ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(1)))
                .encode());
        for (int i = 0; i < 300; i++) {
            long current = stateMachine.configuration().revision();
            long base = current - random.nextInt(2);
            long revision = current + random.nextInt(4);
            ChangeKind kind = random.nextInt(20) == 0 ? ChangeKind.REPLACE : ChangeKind.MODIFY;
            byte[] body = kind == ChangeKind.REPLACE
                    ? SampleConfigurations.bytes(SampleConfigurations.twoRoutes(revision))
                    : moveRoute(revision, List.of("a", "b", "z").get(random.nextInt(3)));
            boolean again = random.nextInt(5) == 0 && !changes.isEmpty();
            byte[] change = again
                    ? changes.get(random.nextInt(changes.size()))
                    : new ConfigurationChange(kind, base, body).encode();
            changes.add(change);
            if (i == 150) {
                restored = new ConfigurationStateMachine();
                restored.restore(stateMachine.snapshot());
            }
            stateMachine.evaluate(kind, base, body);
            stateMachine.apply(change);
            follower.apply(change);
            if (restored != null) {
                restored.apply(change);
                assertArrayEquals(stateMachine.snapshot(), restored.snapshot(), "seed " + seed + ", change " + i);
            }
            assertArrayEquals(stateMachine.snapshot(), follower.snapshot(), "seed " + seed + ", change " + i);
        }
        assertTrue(stateMachine.configuration().revision() > 50, "too few changes were applied");
    }

    /** Every revision that a configuration may have can be given as the base of the next change. */
    @Test
    void highestRevisionsAreValidBases() {
        long high = Long.MAX_VALUE - 1;
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(high)));
        applyChange(
                ChangeKind.MODIFY,
                ConfigurationStateMachine.parseBaseRevision(Long.toString(high)),
                moveRoute(Long.MAX_VALUE, "b"));
        assertEquals(Long.MAX_VALUE, stateMachine.configuration().revision());
    }

    @Test
    void snapshotKeepsAppliedChanges() {
        ConfigurationStateMachine empty = new ConfigurationStateMachine();
        empty.restore(stateMachine.snapshot());
        assertEquals(0, empty.configuration().revision());
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(7)));
        applyChange(ChangeKind.MODIFY, 7, moveRoute(9, "b"));
        byte[] snapshot = stateMachine.snapshot();
        ConfigurationStateMachine other = new ConfigurationStateMachine();
        other.restore(snapshot);
        assertEquals(new ChangeDecision.AlreadyApplied(9), other.evaluate(ChangeKind.MODIFY, 7, moveRoute(9, "b")));
        assertEquals("b", other.configuration().match("h.example", "/one/").selectService(0));
        byte[] evaluated = evaluateProposable(ChangeKind.MODIFY, 9, SampleConfigurations.bytes("{'revision':11}"));
        applyChange(ChangeKind.MODIFY, 9, SampleConfigurations.bytes("{'revision':12}"));
        ConfigurationStateMachine diverged = new ConfigurationStateMachine();
        diverged.apply(new ConfigurationChange(
                        ChangeKind.REPLACE,
                        0,
                        SampleConfigurations.bytes(
                                SampleConfigurations.twoRoutes(9).replace("/one/", "/uno/")))
                .encode());
        diverged.evaluate(ChangeKind.MODIFY, 9, SampleConfigurations.bytes("{'revision':11}"));
        diverged.restore(snapshot);
        assertArrayEquals(snapshot, diverged.snapshot(), "restore discards the former state");
        diverged.apply(evaluated);
        assertEquals(
                "r1",
                diverged.configuration().match("h.example", "/one/").name(),
                "restore discards the cached result of an evaluation on the former state");
        other.restore(new byte[0]);
        assertEquals(0, other.configuration().revision(), "empty bytes are the state before the first change");
        assertEquals(new ChangeDecision.Stale(0), other.evaluate(ChangeKind.MODIFY, 7, moveRoute(9, "b")));
        other.restore(snapshot);
        for (int length : new int[] {3, 20, snapshot.length - 1}) {
            assertThrows(
                    ConfigurationException.class,
                    () -> other.restore(Arrays.copyOf(snapshot, length)),
                    () -> "accepted with " + length + " bytes");
        }
        snapshot[0] = 77;
        assertEquals(
                "configuration.bad-snapshot",
                assertThrows(ConfigurationException.class, () -> other.restore(snapshot))
                        .code());
        assertEquals(9, other.configuration().revision(), "a bad snapshot changes nothing");
    }

    @Test
    void oldestAppliedChangesAreEvicted() {
        applyChange(ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(1)));
        for (int i = 1; i <= ConfigurationStateMachine.MAX_REMEMBERED_CHANGES; i++) {
            applyChange(ChangeKind.MODIFY, i, moveRoute(i + 1, "a"));
        }
        assertEquals(
                new ChangeDecision.HistoryExpired(2),
                stateMachine.evaluate(
                        ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(1))),
                "it was applied, so it must not be reported as stale");
        assertEquals(
                new ChangeDecision.HistoryExpired(2),
                stateMachine.apply(new ConfigurationChange(
                                ChangeKind.REPLACE, 0, SampleConfigurations.bytes(SampleConfigurations.twoRoutes(1)))
                        .encode()));
        assertEquals(
                new ChangeDecision.Stale(ConfigurationStateMachine.MAX_REMEMBERED_CHANGES + 1),
                stateMachine.evaluate(ChangeKind.MODIFY, 2, moveRoute(3, "b")),
                "this base is remembered");
        assertEquals(
                new ChangeDecision.AlreadyApplied(2), stateMachine.evaluate(ChangeKind.MODIFY, 1, moveRoute(2, "a")));
        ConfigurationStateMachine other = new ConfigurationStateMachine();
        other.restore(stateMachine.snapshot());
        assertArrayEquals(stateMachine.snapshot(), other.snapshot());
        assertEquals(new ChangeDecision.AlreadyApplied(2), other.evaluate(ChangeKind.MODIFY, 1, moveRoute(2, "a")));
        assertEquals(new ChangeDecision.HistoryExpired(2), other.evaluate(ChangeKind.MODIFY, 0, moveRoute(2, "a")));
    }
}
