import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients (page PROTOCOL, "Answers"): each request of an idempotent route is tried again twice at most, on a new
 * connection and within its deadline; {@code Retry-After} is respected up to a third of the time that remains. Tries go
 * to edges that are ready, or to any if none is.
 */
final class Callers {
    static final int DEADLINE_MS = 4_000;

    /** A request and how it ended. {@code status}: of the last try, 0 without an answer. */
    record Outcome(double sentS, String path, int status, String edge, String seal, byte[] body) {}

    private final Site site;
    private final Record record;
    private final AtomicInteger ids = new AtomicInteger();
    private volatile List<Site.Node> ready = List.of();
    private volatile boolean ended;
    final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

    Callers(Site site, Record record) {
        this.site = site;
        this.record = record;
        Thread probe = new Thread(this::probe, "readiness");
        probe.setDaemon(true);
        probe.start();
    }

    private void probe() {
        while (!ended) {
            List<Site.Node> found = new ArrayList<>();
            for (Site.Node edge : site.edges) {
                try {
                    Http.Message answer = Http.call(
                            edge.readiness(), 500, 500, "GET /brambletray/readiness HTTP/1.1", Map.of("Host", "r"), new byte[0]);
                    if (answer.status() == 200) {
                        found.add(edge);
                    }
                } catch (IOException e) {
                    // not ready
                }
            }
            ready = found;
            pause(300);
        }
    }

    List<Site.Node> ready() {
        return ready;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String newId() {
        return "a" + site.tag + '-' + ids.incrementAndGet();
    }

    /** One try at one edge; null without a whole answer. */
    Http.Message attempt(Site.Node edge, String id, String method, String path, int leftMs, Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "tray.example");
        headers.put("Brambletray-Attempt-Id", id);
        headers.put("Brambletray-Deadline-Remaining", Integer.toString(leftMs));
        headers.putAll(more);
        record.line("client: " + id + " " + method + ' ' + path + " to " + edge.name);
        try {
            Http.Message answer =
                    Http.call(edge.front(), 1000, leftMs + 100, method + ' ' + path + " HTTP/1.1", headers, new byte[0]);
            record.line("client: " + id + " -> " + answer.status() + " at " + edge.name + " seal "
                    + answer.header("brambletray-response-seal"));
            return answer;
        } catch (IOException e) {
            record.line("client: " + id + " -> " + e + " at " + edge.name);
            return null;
        }
    }

    /** One try on a connection that is kept; null without a whole answer. */
    Http.Message attempt(Socket kept, Site.Node edge, String id, String method, String path, Map<String, String> more) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "tray.example");
        headers.put("Brambletray-Attempt-Id", id);
        headers.put("Brambletray-Deadline-Remaining", Integer.toString(DEADLINE_MS));
        headers.putAll(more);
        record.line("client: " + id + " " + method + ' ' + path + " to " + edge.name + " on a kept connection");
        try {
            kept.setSoTimeout(DEADLINE_MS + 100);
            kept.getOutputStream().write(Http.bytes(method + ' ' + path + " HTTP/1.1", headers, new byte[0]));
            Http.Message answer = Http.read(kept.getInputStream());
            record.line("client: " + id + " -> "
                    + (answer == null
                            ? "closed"
                            : answer.status() + " seal " + answer.header("brambletray-response-seal"))
                    + " at " + edge.name);
            return answer;
        } catch (IOException e) {
            record.line("client: " + id + " -> " + e + " at " + edge.name);
            return null;
        }
    }

    Site.Node edge(int turn) {
        List<Site.Node> list = ready.isEmpty() ? site.edges : ready;
        return list.get(Math.floorMod(turn, list.size()));
    }

    /** An idempotent request with its further tries. */
    Outcome request(String path) {
        double sent = record.seconds();
        int status = 0;
        Site.Node edge = null;
        for (int tries = 0; tries < 3; tries++) {
            int left = (int) (DEADLINE_MS - (record.seconds() - sent) * 1000);
            if (left <= 50) {
                break;
            }
            String id = newId();
            edge = edge(id.hashCode());
            Http.Message answer = attempt(edge, id, "GET", path, left, Map.of());
            status = answer == null ? 0 : answer.status();
            if (status == 200) {
                return new Outcome(sent, path, 200, edge.name, answer.header("brambletray-response-seal"), answer.body());
            }
            String retry = answer == null ? null : answer.header("retry-after");
            left = (int) (DEADLINE_MS - (record.seconds() - sent) * 1000);
            pause(retry == null ? 50 : (long) Math.min(left / 3.0, Double.parseDouble(retry) * 1000));
        }
        return new Outcome(sent, path, status, edge == null ? "-" : edge.name, null, null);
    }

    /** Sends so many idempotent requests a second from now on. */
    void begin(int perS) {
        Thread clock = new Thread(
                () -> {
                    long next = System.nanoTime();
                    while (!ended) {
                        Thread one = new Thread(
                                () -> outcomes.add(request("/read/" + ids.get())), "client");
                        one.setDaemon(true);
                        one.start();
                        next += 1_000_000_000L / perS;
                        pause((next - System.nanoTime()) / 1_000_000);
                    }
                },
                "clients");
        clock.setDaemon(true);
        clock.start();
    }

    void end() {
        ended = true;
    }

    /** Served and sent requests of those sent in this span. */
    int[] served(double fromS, double toS) {
        int[] count = new int[2];
        for (Outcome outcome : outcomes) {
            if (outcome.sentS >= fromS && outcome.sentS < toS) {
                count[1]++;
                count[0] += outcome.status == 200 ? 1 : 0;
            }
        }
        return count;
    }
}
