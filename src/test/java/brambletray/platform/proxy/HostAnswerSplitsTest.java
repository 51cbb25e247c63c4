package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against MIXED and SEALED: answers of hosts are read alike, however their bytes are split, and the connection
 * is kept for the next request alike.
 */
class HostAnswerSplitsTest {
    private static final String BODY = "{\n  \"kwh\": 1\n}";
    private static final String SEAL = "Brambletray-Response-Seal: s\r\n";

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;
    private int requests;

    /** An answer to the current request; {@code ID} in its body stands for the id of that request. */
    private String answer(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\nBrambletray-Attempt-Id: " + id() + "\r\n" + headers + "\r\n"
                + body.replace("ID", id());
    }

    private String id() {
        return "r" + requests;
    }

    private void request() {
        requests++;
        proxy.broker.act(new String[] {"grants", "a"});
        client.act(new String[] {"asks", id()});
        proxy.settle();
    }

    /** What the client sees of the answer in these pieces. */
    private List<String> seen(String... pieces) {
        for (String piece : pieces) {
            host.sendBytes(id(), piece);
            proxy.settle();
        }
        return client.look();
    }

    private void assertSplitsChangeNothing(String status, String headers, String body, List<String> expected) {
        proxy.route("idempotent", 1);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
        request();
        int length = answer(status, headers, body).length();
        assertEquals(expected, seen(answer(status, headers, body)));
        for (int bytes = 0; bytes <= 2; bytes++) {
            for (int from = 1; from < length; from++) {
                request();
                String answer = answer(status, headers, body);
                int to = Math.min(answer.length(), from + bytes);
                assertEquals(
                        expected,
                        seen(answer.substring(0, from), answer.substring(from, to), answer.substring(to)),
                        "bytes " + from + " to " + to + " apart");
            }
        }
        request();
        assertEquals(expected, seen(answer(status, headers, body).split("")));
        assertEquals(1, host.connectionCount);
        host.look();
        proxy.broker.look();
        proxy.assertNothingLeft();
    }

    @Test
    void answerWithLength() {
        assertSplitsChangeNothing(
                "200 OK", SEAL + "Content-Length: " + BODY.length() + "\r\n", BODY, List.of("200 " + BODY));
    }

    @Test
    void answerInChunks() {
        assertSplitsChangeNothing(
                "200 OK",
                SEAL + "Transfer-Encoding: chunked\r\n",
                "4\r\n{\n  \r\na;x=y\r\n\"kwh\": 1\n}\r\n0\r\nTrailer: t\r\n\r\n",
                List.of("200 " + BODY));
    }

    @Test
    void answerWithoutBody() {
        assertSplitsChangeNothing("204 No Content", SEAL, "", List.of("204"));
    }

    @Test
    void answerBehindAnInterimOne() {
        assertSplitsChangeNothing(
                "103 Early Hints",
                "Link: x\r\n",
                "HTTP/1.1 200 OK\r\nBrambletray-Attempt-Id: ID\r\n" + SEAL + "Content-Length: 2\r\n\r\n\n ",
                List.of("200 \n "));
    }
}
