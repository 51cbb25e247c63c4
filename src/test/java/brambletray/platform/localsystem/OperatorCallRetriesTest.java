package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An operator's way from relay to relay: answers as numbers (0: silence, 307: to another place), what is done as
 * letters.
 */
class OperatorCallRetriesTest {
    @ParameterizedTest
    @CsvSource({
        "200, E",
        "400, E",
        "409, E",
        "412, E",
        "413, E",
        "422, E",
        "307 200, F E",
        "307 307 307 200, F F 1+50 E",
        "307 307 503 307 200, F F 1+50 F E",
        "0 503 408 429 500 502 200, 1+50 2+100 0+200 1+400 2+800 0+1000 E",
        "404 404 404, 1+50 2+100 E",
        "404 503 404 404, 1+50 2+100 0+200 E"
    })
    void goesOn(String answers, String expected) {
        OperatorCallRetries rounds = new OperatorCallRetries(3, 0);
        assertEquals(new OperatorCallRetries.Step.Ask(0, 0), rounds.first());
        StringBuilder done = new StringBuilder();
        for (String answer : answers.split(" ")) {
            OperatorCallRetries.Step step =
                    rounds.next(Integer.parseInt(answer), answer.equals("307") ? "http://10.0.0.9:1/x" : null);
            if (step instanceof OperatorCallRetries.Step.Ask ask) {
                done.append(ask.relay()).append('+').append(ask.pauseMs()).append(' ');
            } else {
                done.append(step instanceof OperatorCallRetries.Step.Follow ? "F " : "E ");
            }
        }
        assertEquals(expected, done.toString().strip());
    }

    @ParameterizedTest
    @CsvSource({"1", "2"})
    void aSingleRelayIsAskedAgain(int times) {
        OperatorCallRetries rounds = new OperatorCallRetries(1, 0);
        for (int i = 0; i < times; i++) {
            assertTrue(rounds.next(503, null) instanceof OperatorCallRetries.Step.Ask ask && ask.relay() == 0);
        }
    }
}
