package brambletray.platform.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The command line: exit codes, and one clear line for what can't be used. */
class CommandsTest {
    private static final String KEEP = """
        node-name=n1
        ip-address=10.1.0.3
        zone=za
        bind-addresses.control-plane=10.1.0.3:8248
        internal-port-range=7400,7415
        seed-peers=10.1.0.6:8248
        data-dir=/data
        cloud-api.address=10.2.0.1:80
        """;
    private static final String CONFIGURATION =
            "{\"revision\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/a/\","
                    + "\"route-type\":\"idempotent\",\"timeout-ms\":100,\"service\":\"tea\"}],\"services\":[{\"name\":\"tea\"}]}";

    @TempDir
    Path dir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        return Commands.run(args, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String complaint() {
        String text = err.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        return text.strip();
    }

    private String file(String text) throws IOException {
        return Files.writeString(dir.resolve("file"), text).toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "check",
                "show",
                "replace",
                "modify",
                "views",
                "duties",
                "edges",
                "hosts",
                "homes",
                "operations",
                "tenants",
                "declare-dead",
                "up",
                "drill"
            })
    void everyVerbHasHelp(String verb) {
        assertEquals(0, run(verb, "--help"));
        assertTrue(
                out.toString(StandardCharsets.UTF_8).startsWith("system " + verb + ' '),
                out.toString(StandardCharsets.UTF_8));
        assertEquals(0, err.size());
        assertEquals(0, run("--help"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("\n  " + verb + ' '));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "fly | system: expected one of controlplane, edge, check",
                "controlplane now | system: expected one of",
                "show | show: Option \"--control\" is required",
                "show --control | show: Option \"--control\" takes an operand",
                "views --control here:1 | views: --control: expected an address such as 10.1.0.3:8241, found 'here:1'",
                "views --control 10.0.0.1:1 --wait x | views: \"x\" is not a valid value for \"--wait\"",
                "duties --control 10.0.0.1:1 --wait 0 | duties: --wait: expected seconds from 1 to 600, found 0",
                "declare-dead x --control 10.0.0.1:1 --life a1 | declare-dead: MEMBER: expected an address such as 10.1.0.3:8241, found 'x'",
                "declare-dead 10.0.0.2:1 --control 10.0.0.1:1 | declare-dead: Option \"--life\" is required",
                "declare-dead 10.0.0.2:1 --control 10.0.0.1:1 --life yes | declare-dead: --life: expected up to 16 hex digits, found 'yes'",
                "declare-dead 10.0.0.2:1 --control 10.0.0.1:1,10.0.0.3:1 --life a1 | declare-dead: --control: expected the one member that is to go on without it",
                "replace --control 10.0.0.1:1 | replace: Argument \"FILE\" is required",
                "replace no-such-file --control 10.0.0.1:1 | replace: no-such-file: expected a file that can be read, found NoSuchFileException",
                "modify no-such-file --control 10.0.0.1:1 | modify: no-such-file: expected a file",
                "check | check: Argument \"settings|configuration\" is required",
                "check taste x | check: \"taste\" is not a valid value for",
                "check settings no-such-file | check: no-such-file: can't be read (NoSuchFileException), expected a settings file",
                "up --kill edge-1 | up: --kill: expected NAME@S such as edge-1@5, found 'edge-1'",
                "up --kill edge-7@2 | up: --kill edge-7@2: expected controlplane-1 to controlplane-3, edge-1 to edge-4 or helm",
                "up --seconds 0 | up: --seconds: expected a number from 1 to 600, found 0",
                "drill --members 2 | drill: --members: expected a number from 3 to 9, found 2",
                "drill --courses 0 | drill: --courses: expected a number from 1 to 10000000, found 0",
                "drill --threads 0 | drill: --threads: expected a number from 1 to 64, found 0",
                "drill --seed -1 | drill: --seed: expected a number from 0, found -1",
                "drill --seed x | drill: \"x\" is not a valid value for \"--seed\"",
                "drill --course 3/1 | drill: course: expected SEED/MEMBERS/LOSSES/END-MS/TROUBLES, found '1/3/1'",
                "drill --replay x | drill: course: seed: expected a number from 0, found 'x'",
                "drill --replay 1/3/3/9000/ | drill: course: losses: expected a number from 0 to 2, found '3'",
                "drill --replay 1/3/1/9000/FLOOD:1:ANY:1:1 | drill: course: trouble: kind: expected one of [CUT_CORE, ",
                "drill --replay 1/3/1/9000/KILL:1:ALL:1:1 | drill: course: trouble: who: expected one of [LEADER, ",
                "drill --replay 1/3/1/9000/KILL:1:ANY | drill: course: trouble: expected KIND:AT-MS:WHO:SPAN-MS:ARGUMENT",
                "drill --log | drill: option \"--log\" requires the option(s) [--replay]",
                "up --faster | up: \"--faster\" is not a valid option"
            })
    void badInputIsOneLineAndTwo(String args, String expected) {
        assertEquals(2, run(args.strip().split(" ")));
        String line = complaint();
        assertTrue(line.startsWith(expected.strip()), line);
    }

    @Test
    void settingsAreChecked() throws IOException {
        assertEquals(0, run("check", "settings", file(KEEP)));
        assertTrue(out.toString(StandardCharsets.UTF_8).endsWith("n1, for controlplane at 10.1.0.3 in za, 1 seeds\n"));
    }

    @ParameterizedTest
    @CsvSource({
        "data-dir=/data, '', data-dir: expected in the file",
        "seed-peers=10.1.0.6:8248, '', seed-peers: expected in the file",
        "10.1.0.3:8248, 10.1.0.3, :4: bind-addresses.control-plane: expected an address such as",
        "zone=za, zone, :3: expected a.b=value",
        "bind-addresses.control-plane=10.1.0.3:8248, '', bind-addresses.front-end: expected in the file"
    })
    void badSettingsAreNamedWithTheirLine(String what, String instead, String expected) throws IOException {
        String file = file(KEEP.replace(what, instead));
        assertEquals(2, run("check", "settings", file));
        String line = complaint();
        assertTrue(line.startsWith("check: " + file) && line.contains(expected), line);
    }

    @Test
    void configurationsAreChecked() throws IOException {
        assertEquals(0, run("check", "configuration", file(CONFIGURATION)));
        assertTrue(out.toString(StandardCharsets.UTF_8).endsWith(": revision 3, 1 routes, 1 services\n"));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"tea\"}],\"services', '\"tee\"}],\"services', routes[r].service: expected a service of the configuration",
        "100, 0, routes[r].timeout-ms: expected a whole number from 1",
        "'}]}', '', expected whole JSON"
    })
    void badConfigurationsAreNamedWithTheirField(String what, String instead, String expected) throws IOException {
        String file = file(CONFIGURATION.replace(what, instead));
        assertEquals(2, run("check", "configuration", file));
        String line = complaint();
        assertTrue(line.startsWith("check: " + file + ": ") && line.contains(expected), line);
        err.reset();
        assertEquals(2, run("replace", file, "--control", "10.0.0.1:1"), "it isn't sent at all");
        assertTrue(complaint().contains(expected));
    }

    @Test
    void aDrillThatHoldsIsZeroAndItsReplayDrawsATimeline() {
        assertEquals(0, run("drill", "--course", "3/1/6000/KILL:5000:LEADER:300:0", "--courses", "1", "--json"));
        String report = out.toString(StandardCharsets.UTF_8);
        assertTrue(report.contains("\"courses\":1,") && report.contains("\"broken\":[]"), report);
        out.reset();
        assertEquals(0, run("drill", "--replay", "1/3/1/6000/KILL:5000:LEADER:300:0"));
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("core-1") && text.contains("killed") && text.contains("all rules hold"), text);
    }
}
