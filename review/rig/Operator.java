import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The operator (page PROTOCOL, "The operator"): goes from member to member until an answer is clear. */
final class Operator {
    private final Record record;
    private final Supplier<List<Site.Node>> members;
    private int turn;

    Operator(Record record, Supplier<List<Site.Node>> members) {
        this.record = record;
        this.members = members;
    }

    /** One call at one member, with 307 followed twice; null without an answer within a second. */
    Http.Message once(Site.Node member, String first, Map<String, String> headers, byte[] body) {
        InetSocketAddress to = member.control();
        String[] words = first.split(" ");
        String path = words[1];
        for (int hop = 0; hop < 3; hop++) {
            try {
                Http.Message answer =
                        Http.call(to, 1000, 1000, words[0] + ' ' + path + " HTTP/1.1", headers, body);
                if (answer.status() != 307 || hop == 2) {
                    return answer;
                }
                URI next = URI.create(answer.header("location"));
                to = new InetSocketAddress(next.getHost(), next.getPort());
                path = next.getPath();
            } catch (IOException e) {
                return null;
            }
        }
        return null;
    }

    /** Calls until an answer is clear (2xx, 400, 409, 412, 413, 422) or the time is up; null: no clear answer. */
    Http.Message call(String first, Map<String, String> headers, byte[] body, double forS) throws InterruptedException {
        double until = record.seconds() + forS;
        int pauseMs = 100;
        while (record.seconds() < until) {
            List<Site.Node> list = members.get();
            Site.Node member = list.get(turn++ % list.size());
            Http.Message answer = once(member, first, headers, body);
            record.line("operator: " + first + " at " + member.name + " -> "
                    + (answer == null
                            ? "no answer"
                            : answer.status() + " "
                                    + (answer.status() == 200 ? answer.body().length + " bytes" : answer.text())));
            if (answer != null
                    && (answer.status() / 100 == 2 || List.of(400, 409, 412, 413, 422).contains(answer.status()))) {
                return answer;
            }
            Thread.sleep(pauseMs);
            pauseMs = Math.min(1000, 2 * pauseMs);
        }
        return null;
    }

    Http.Message replace(long base, Map<String, Object> configuration, double forS) throws InterruptedException {
        return call(
                "POST /brambletray/configuration/replace HTTP/1.1",
                Map.of(
                        "Host", "control",
                        "Content-Type", "application/json",
                        "Brambletray-Base-Revision", Long.toString(base)),
                Json.write(configuration).getBytes(StandardCharsets.UTF_8),
                forS);
    }

    Http.Message show(double forS) throws InterruptedException {
        return call("GET /brambletray/configuration/show HTTP/1.1", Map.of("Host", "control"), new byte[0], forS);
    }
}
