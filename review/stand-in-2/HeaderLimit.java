import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rules CONFIG and DENIED: a request is handled as only an older version allows. Clients keep connections open and use
 * them every 2 s. With trouble, the operator raises max-header-bytes from 8,192 to 16,384 meanwhile; otherwise it is
 * 16,384 from the start. Later than contact-ms + config-apply-ms after that each client sends a request with a head of
 * 12,000 bytes on its kept connection, and one on a new connection.
 */
final class HeaderLimit {
    private static final int EDGES = 2;
    private static final int CLIENTS = 20;
    private static final int HEAD_BYTES = 12_000;

    private static long lastId = 0x9c41d07b00000000L;

    private HeaderLimit() {}

    private static String configuration(long revision, int maxHeaderBytes) {
        return "{\"revision\":" + revision + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"lofi7.example\","
                + "\"path-prefix\":\"/mide241/\",\"route-type\":\"idempotent\",\"timeout-ms\":4000,"
                + "\"target-ms\":400,\"priority\":2,\"service\":\"meter-ledger\",\"retry-count\":2}],"
                + "\"services\":[{\"name\":\"meter-ledger\",\"health-path\":null,\"max-connections\":125,"
                + "\"protocol\":\"h1\",\"tls-mode\":false,\"memory-mb\":512,\"boot-ms\":300,\"max-concurrency\":4}],"
                + "\"limits\":{\"max-header-bytes\":" + maxHeaderBytes
                + ",\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Sys system = new Sys(3, EDGES, Path.of(args[0]));
        AtomicInteger runs = new AtomicInteger();
        Platform platform = new Platform(
                system, system.hostPort, Map.of("meter-ledger", new Platform.Function(512, 300, 4)), (host, request) -> {
                    runs.incrementAndGet();
                    Thread.sleep(20);
                    return "done".getBytes(StandardCharsets.US_ASCII);
                });
        int exit = 2;
        try {
            exit = play(system, platform, trouble);
            system.record(runs.get() + " requests ran at hosts");
        } catch (IOException | RuntimeException e) {
            system.record("could not run: " + e);
        } finally {
            platform.end();
            system.end();
        }
        System.exit(exit);
    }

    private static int play(Sys system, Platform platform, boolean trouble) throws IOException {
        platform.open(system.platformIp(), system.platformPort);
        system.up();
        if (system.deliver("replace", 0, configuration(1, trouble ? 8_192 : 16_384), 30_000) != 200
                || !system.awaitReady(30_000)) {
            return 2;
        }
        List<Http.Connection> kept = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            kept.add(new Http.Connection(system.front(i % EDGES), 5_000));
        }
        int before = useAll(system, kept, 0);
        if (trouble && system.deliver("replace", 1, configuration(2, 16_384), 10_000) != 200) {
            return 2;
        }
        long end = Sys.nowMs() + Sys.CONTACT_MS + Sys.CONFIG_APPLY_MS;
        while (Sys.nowMs() < end) {
            Sys.sleep(2_000);
            before += useAll(system, kept, 0);
        }
        system.record(before + " small requests served on " + CLIENTS + " kept connections");
        int served = useAll(system, kept, HEAD_BYTES);
        List<Http.Connection> fresh = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            fresh.add(new Http.Connection(system.front(i % EDGES), 5_000));
        }
        int servedFresh = useAll(system, fresh, HEAD_BYTES);
        system.record("heads of " + HEAD_BYTES + " bytes: on kept connections " + served + " of " + CLIENTS
                + " served, on new ones " + servedFresh);
        kept.forEach(Http.Connection::close);
        fresh.forEach(Http.Connection::close);
        if (before < CLIENTS || servedFresh < CLIENTS / 2) {
            return 2;
        }
        return denied > 5 ? 1 : 0;
    }

    private static int denied;

    /** One request on each connection; how many were served. */
    private static int useAll(Sys system, List<Http.Connection> connections, int headBytes) {
        int served = 0;
        for (Http.Connection connection : connections) {
            String id = String.format("%016x", ++lastId);
            String status;
            try {
                List<String> headers = new ArrayList<>(List.of(
                        "Host: lofi7.example",
                        "Brambletray-Attempt-Id: " + id,
                        "Brambletray-Deadline-Remaining: 4000"));
                if (headBytes > 0) {
                    headers.add("Cookie: session=" + "s".repeat(headBytes - 150));
                }
                Http.Message answer = connection.call("GET", "/mide241/2f", headers, null);
                status = answer == null ? "closed without an answer" : String.valueOf(answer.status());
            } catch (IOException e) {
                status = "no answer: " + e.getMessage();
            }
            if (headBytes > 0) {
                system.record("request " + id + ", head of about " + headBytes + " bytes -> " + status);
            }
            served += status.equals("200") ? 1 : 0;
            denied += status.startsWith("4") && !List.of("408", "421", "429").contains(status) ? 1 : 0;
        }
        return served;
    }
}
