package brambletray.relay.simhost;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.Main;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The adapter: batches in, replies out, malformed input named; and the limits on the module's text. */
class SimHostTest {
    private static final String START = """
        {"verb":"Batch","sim-time":1000.0,"frame":1}
        {"verb":"Start","i":3,"nonce64":9223372036854775807,"settings":{"balancers":1,"kinds":["k"],"new-key":[{}],
        "profiles":[{"name":"s","aim":1000.0,"hard-limit":5000.0,"semantics":"retryable"}],
        "family-info":{"call-slots":4,"bundle-max":[1],"kind-apart":[false]},"weights":"nominal",
        "allowed":{"open-cap":50,"most-tries":8,"cancel":true,"second-copies":true},
        "rules":{"cold":10000.0,"cold-from":0.2,"fall-multiple":2.0,"tip-after":3000.0,"answer-slack":20.0}}}
        {"verb":"Table","roster-id":0,"items":[{"host":51530247,"region-part":0,"family-type":0,"owner-no":57,\
        "state":"SERVING","size":9.5}]}
        {"verb":"Membership","i":3,"epoch":1,"roster-id":0,"mode":"cached"}
        {"verb":"Eob"}
        """.replace(",\n\"", ",\"");
    private static final String MESSAGE = """
        {"verb":"Batch","sim-time":1005.25,"frame":2}
        {"verb":"Accept","i":3,"ref":"r1","deadline":6005.25,"to-exchange":57}
        {"verb":"Eob"}
        """;

    private record Result(int code, String out, String err) {}

    private static Result serve(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = SimHost.serve(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void sendsAMessageAndTakesItsOutcome() throws IOException {
        Result r = serve(START + MESSAGE + """
            {"verb":"Batch","sim-time":1205.25,"frame":3}
            {"verb":"Verdict","i":3,"ref":"r1","finished":true,"host":51530247,"spent":200.0,"rc":"S","report":{"zz":1}}
            {"verb":"Eob"}
            """);
        assertEquals(0, r.code, r.err);
        assertTrue(r.out.startsWith("{\"verb\":\"Finished\",\"frame\":1}\n"), r.out);
        assertTrue(r.out.contains("{\"verb\":\"Issue\",\"i\":3,\"ref\":\"r1\",\"host\":51530247,\"patience\":"), r.out);
        assertTrue(r.out.endsWith("{\"verb\":\"Finished\",\"frame\":3}\n"), r.out);
    }

    @Test
    void aRestartForgetsAndADeadInstanceIsUnknown() throws IOException {
        Result r = serve(START + "{\"verb\":\"Batch\",\"sim-time\":1001.0,\"frame\":2}\n{\"verb\":\"Down\",\"i\":3}\n"
                + "{\"verb\":\"TickDue\",\"i\":3,\"label\":1}\n");
        assertEquals(1, r.code);
        assertEquals("line 8: instance 3 never started\n", r.err);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "[1]",
                "{\"verb\":\"Batch\"}",
                "{\"no\":1}",
                "{\"verb\":\"Eob\"}",
                "{\"verb\":\"Batch\",\"sim-time\":\"x\",\"frame\":1}",
                "{\"verb\":\"Batch\",\"sim-time\":1,\"frame\":1} {}"
            })
    void malformedLinesAreNamedOnStandardError(String line) throws IOException {
        Result r = serve(line + "\n");
        assertEquals(1, r.code);
        assertTrue(r.err.startsWith("line 1: "), r.err);
        assertEquals("", r.out);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"verb\":\"Wobble\",\"i\":3}",
                "{\"verb\":\"Accept\",\"i\":3,\"ref\":\"a\"}",
                "{\"verb\":\"TickDue\",\"i\":9}",
                "{\"verb\":\"Verdict\",\"i\":3,\"ref\":\"a\",\"host\":1,\"rc\":\"Q\"}",
                "{\"verb\":\"Membership\",\"i\":3,\"epoch\":1,\"roster-id\":7,\"mode\":\"full\"}"
            })
    void badEventsAreNamedToo(String line) throws IOException {
        Result r = serve(START + "{\"verb\":\"Batch\",\"sim-time\":1001.0,\"frame\":2}\n" + line + "\n");
        assertEquals(1, r.code);
        assertTrue(r.err.startsWith("line 7: "), r.err);
    }

    @Test
    void endOfInputEndsWellAndArgumentsAreChecked() throws IOException {
        assertEquals(0, serve("").code);
        assertEquals(1, serve("{\"verb\":\"Batch\",\"sim-time\":1,\"frame\":1}\n").code);
        assertEquals(2, Main.run(new String[] {"other"}));
        assertEquals(2, Main.run(new String[] {}));
    }

    /**
     * Decisions stand in clearly named files: the deploy file names each of them, and the linter tolerates nothing in
     * them, so that the sizes of files, methods and parameter lists in checkstyle.xml hold without an exception.
     */
    @Test
    void theModuleKeepsItsLimits() throws IOException {
        List<String> policy = policyFiles();
        Set<String> files = new TreeSet<>(
                Set.of("Control.java", "Turn.java", "Relay.java", "State.java", "Memory.java", "package-info.java"));
        List<String> tolerated = Files.readAllLines(Path.of("config/checkstyle/ratchet.txt"));
        long lines = 0;
        for (String file : policy) {
            files.add(Path.of(file).getFileName().toString());
            lines += Files.readAllLines(Path.of(file)).stream()
                    .filter(line -> !line.isBlank())
                    .count();
            assertEquals(
                    List.of(),
                    tolerated.stream()
                            .filter(entry -> entry.startsWith(file + " "))
                            .toList());
        }
        assertTrue(lines > 1000, "the decisions are in these files: " + lines);
        Path control = Path.of("src/main/java/brambletray/relay/control");
        assertEquals(files, Set.of(control.toFile().list()), "no file of decisions is left out");
    }

    private static List<String> policyFiles() throws IOException {
        String deployed = Files.readString(Path.of("deploy/balancer.toml"));
        int begin = deployed.indexOf("policy = [");
        Matcher policy = Pattern.compile("\\w[\\w/]*/\\w+\\.java")
                .matcher(deployed.substring(begin, deployed.indexOf("]", begin)));
        return policy.results().map(MatchResult::group).toList();
    }

    /**
     * The formatter's width, for code and comments alike; wider lines are those that the ratchet of Checkstyle counts.
     */
    @Test
    void linesKeepTheFormattersWidth() throws IOException {
        Map<String, Long> tolerated = Files.readAllLines(Path.of("config/checkstyle/ratchet.txt")).stream()
                .map(entry -> entry.split(" "))
                .filter(entry -> entry.length == 3 && entry[1].equals("LineLength"))
                .collect(Collectors.toMap(entry -> entry[0], entry -> Long.parseLong(entry[2])));
        for (Path tree : List.of(Path.of("src/main/java"), Path.of("src/test/java"))) {
            try (var walk = Files.walk(tree)) {
                for (Path file : walk.filter(Files::isRegularFile).toList()) {
                    List<String> wide = Files.readAllLines(file).stream()
                            .filter(line -> line.length() > 120 && !line.matches("(package|import) .*"))
                            .toList();
                    assertEquals(tolerated.getOrDefault(file.toString(), 0L), wide.size(), file + ": " + wide);
                }
            }
        }
    }
}
