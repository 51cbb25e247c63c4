package brambletray.relay.cli;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The commands as a person gives them. */
class CommandLineTest {
    @TempDir
    Path folder;

    private record Ran(int code, String out, String err) {}

    private static Ran run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Verbs.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Ran(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                " | expected a command",
                "dance | Unmatched argument",
                "demo --seconds 0 | --seconds: expected 1 to 3600",
                "demo --seconds x | Invalid value",
                "emulate | expected a script",
                "emulate check | Missing required parameter",
                "emulate demo --listen here:1 | --listen: not an address and port: 'here:1'"
            })
    void badArgumentsAreOnePlainLineAndCode2(String args, String line) {
        Ran ran = run(args == null ? new String[0] : args.split(" "));
        assertEquals(2, ran.code());
        assertEquals(1, ran.err().lines().count(), ran.err());
        assertTrue(ran.err().startsWith(line), ran.err());
    }

    @Test
    void aScriptWithFaultsIsTurnedAwayWithAllOfThem() throws Exception {
        Path script = Files.writeString(folder.resolve("bad.yaml"), "name: x\nlength_s: 0\npartners: []\n");
        Ran ran = run("emulate", script.toString());
        assertEquals(2, ran.code());
        assertEquals(
                List.of(script + ":2:11: length_s: expected a number from 0.1 to 86400, not '0'"),
                ran.err().lines().limit(1).toList());
        assertEquals(2, run("emulate", folder.resolve("none.yaml").toString()).code());
    }

    /** A relay, partners and clients on loopback, with nothing to configure, and a verdict at the end. */
    @Test
    void theDemoRunsAndEndsWithItsFigures() {
        Ran ran = run("demo", "--seconds", "2");
        assertEquals(0, ran.code(), ran.out() + ran.err());
        assertTrue(ran.out().contains("service score"), ran.out());
        assertTrue(ran.out().contains("rules broken: 0"), ran.out());
    }

    @Test
    void aNightPlayedInSimulatedTimeIsTheSameEveryTime() {
        Ran one = run("emulate", "play", "demo", "--seeds", "1-2");
        assertEquals(0, one.code(), one.out() + one.err());
        assertEquals(figures(one), figures(run("emulate", "play", "demo", "--seeds", "1-2")));
    }

    /** All but how long it took. */
    private static List<String> figures(Ran ran) {
        List<String> lines =
                ran.out().lines().filter(l -> !l.contains("times as fast")).toList();
        assertFalse(lines.isEmpty());
        return lines;
    }

    /** A relay on a folder that cannot be trusted ends with one line that says what helps; the tools say more. */
    @Test
    void aStoreThatCannotBeTrustedIsOnePlainLine() throws Exception {
        Path state = Files.createDirectories(folder.resolve("state"));
        try (var store = brambletray.relay.store.Store.open(
                new brambletray.relay.store.RealDisk(state),
                new brambletray.relay.store.Store.Options(
                        3_000_000, brambletray.relay.store.Store.Promise.PROCESS, 0))) {
            store.put((byte) 1, 1, new byte[10]);
            store.commit();
        }
        assertEquals(
                "all as it was written\n",
                run("store", "verify", state.toString()).out());
        assertTrue(run("store", "dump", state.toString()).out().startsWith("seg-0000000001 64 #1 put space 1 key 1"));
        assertTrue(run("store", "stat", state.toString()).out().contains("space 1: 1 chains (0 doubtful), 1 values"));
        Files.write(state.resolve("MANIFEST"), new byte[40]);
        Ran verify = run("store", "verify", state.toString());
        assertEquals(2, verify.code());
        assertEquals(
                "the store can't be trusted: MANIFEST is not one: it begins with other bytes; 'store salvage DIR NEW'"
                        + " saves what can be read",
                verify.err().strip());
        assertEquals(
                0,
                run("store", "salvage", state.toString(), folder.resolve("new").toString())
                        .code());
        Ran saved = run("store", "stat", folder.resolve("new").toString());
        assertTrue(saved.out().contains("1 chains (1 doubtful)"), saved.out());
        assertEquals(
                2, run("store", "verify", folder.resolve("none").toString()).code());
    }

    /** Guards the start of a relay: the platform's commands load nothing of the command line or of the emulator. */
    @ParameterizedTest
    @CsvSource({"serve, 2", "simhost, 0"})
    void thePlatformsCommandsLoadNothingElse(String command, int code) throws Exception {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xshare:off",
                "-verbose:class",
                "-cp",
                System.getProperty("java.class.path"),
                "brambletray.Main",
                command));
        ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true);
        builder.environment().remove("EDGE_CONFIG");
        Process process = builder.start();
        process.getOutputStream().close();
        List<String> loaded = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains("source:"))
                .toList();
        assertEquals(code, process.waitFor());
        assertTrue(loaded.stream().anyMatch(l -> l.contains("brambletray.Main")), "no class was told");
        for (String unwanted : List.of(
                "picocli",
                "snakeyaml",
                "brambletray.relay.cli",
                "brambletray.relay.emulator",
                "brambletray.common.simulation",
                "brambletray.relay.script",
                "brambletray.relay.stage",
                "brambletray.common.yaml",
                "brambletray.relay.mqtt",
                "handler.codec.mqtt")) {
            assertTrue(loaded.stream().noneMatch(l -> l.contains(unwanted)), unwanted + " is loaded");
        }
    }
}
