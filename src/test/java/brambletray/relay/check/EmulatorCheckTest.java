package brambletray.relay.check;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What callers measure over HTTP is what the script says; and a partner that does something else is told. */
class EmulatorCheckTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int check(Script said, Script played) {
        return new EmulatorCheck(said, played, new PrintStream(out, true, StandardCharsets.UTF_8)).simulated();
    }

    @Test
    void inSimulatedTimeEveryFigureIsTheScripts() throws Exception {
        Script script = ScriptReader.builtIn("check");
        assertEquals(0, check(script, script), out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void resetsCapsHandshakesAndOutagesAreMeasuredAlike() throws Exception {
        Script script = ScriptReader.parse("c.yaml", """
            name: c
            length_s: 20
            partners:
              - {name: resets, service: {law: exponential, mean_ms: 30}}
              - {name: capped, servers: 4, service: {law: constant, mean_ms: 150}, connections: {cap: 2, handshake_ms: 40}}
              - {name: fails, service: {law: constant, mean_ms: 20}}
              - {name: forgets, servers: 1, service: {law: constant, mean_ms: 20}, queue: 100}
            events:
              - {at_s: 4, for_s: 8, on: resets, do: spoil, reset_before: 0.2, reset_after: 0.2, spoilt: 0.1}
              - {at_s: 5, for_s: 5, on: fails, do: down}
              - {at_s: 15, for_s: 2, on: forgets, do: pause, answers: never}
            check: {per_s: 20, bound_percent: 2}
            """);
        assertEquals(0, check(script, script), out.toString(StandardCharsets.UTF_8));
    }

    /** Guards the check itself: a mean that is 10 per cent off, and a limit that is, are seen. */
    @Test
    void aPartnerThatDoesNotFollowItsScriptIsSeen() throws Exception {
        String text = """
            name: c
            length_s: 30
            partners: [{name: p, servers: 2, service: {law: constant, mean_ms: 60}, limit: {per_s: 12, burst: 2}}]
            check: {per_s: 15, bound_percent: 5}
            """;
        Script script = ScriptReader.parse("c.yaml", text);
        assertTrue(check(script, ScriptReader.parse("d.yaml", text.replace("60}", "66}"))) > 0);
        assertTrue(check(script, ScriptReader.parse("d.yaml", text.replace("per_s: 12", "per_s: 10"))) > 0);
        assertEquals(0, check(script, script));
    }
}
