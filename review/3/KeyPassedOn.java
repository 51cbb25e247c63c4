import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A key is passed on from one tenant to another by a change of the configuration. After the change is acknowledged,
 * clients with that key send each operation twice, through two edges. One of these edges stands still for a second.
 */
final class KeyPassedOn {
    private static final int OPERATIONS = 10;
    private static final int FREEZE_MS = 1_000;
    private static final double KEY_WINDOW_S = 60;
    private static final String KEY = "mpba2utc7n6tafuvv8z9";

    /** A run of an operation at a host. */
    private record Run(double atS, String attempt, String tenant, String host) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Record record = new Record(Path.of(args[1]));
        Site site = new Site(Path.of(args[0]), record);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                site.end(List.of(), System.getenv("KEEP") != null);
            } catch (Exception e) {
                e.printStackTrace();
            }
        }));
        try {
            code = play(site, record, trouble);
        } finally {
            record.say("exit " + code);
            record.close();
        }
        System.exit(code);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        site.extra.addAll(List.of(
                "active-contracts=base,drain,config,cost,retry,recover,tenants,keys,quota,functions",
                "bounds.key-window-s=" + (int) KEY_WINDOW_S,
                "bounds.quota-window-s=5",
                "bounds.quota-overage=0.1",
                "bounds.quota-slack=20",
                "bounds.revocation-global=false",
                "bounds.revoke-ms=5000"));
        site.addEdges(3);
        Map<String, List<Run>> runs = new ConcurrentHashMap<>();
        Platform platform = new Platform(site, record, (host, request) -> {
            String operation = request.header("brambletray-operation-key");
            Run run = new Run(
                    record.seconds(),
                    request.header("brambletray-attempt-id"),
                    request.header("brambletray-tenant-name"),
                    host.id);
            if (operation != null) {
                runs.computeIfAbsent(operation, none -> new CopyOnWriteArrayList<>()).add(run);
                record.line("operation " + operation + " runs: " + run);
            }
            Thread.sleep(60);
            return ("done " + operation + " by " + run.attempt()).getBytes(StandardCharsets.UTF_8);
        });
        platform.open();
        Operator operator = new Operator(record, () -> site.cores);
        for (Site.Node node : site.all()) {
            node.start(true);
        }
        Callers callers = new Callers(site, record);
        Map<String, Object> first = site.configuration(1, true);
        first.put("tenants", List.of(tenant("household", List.of(KEY)), tenant("village", List.of("ddbadrvm6brf73em4p2n"))));
        if (!acknowledged(operator.replace(0, first, 30)) || !ready(callers, record, 20)) {
            record.say("the system does not come up");
            return 2;
        }
        Site.Node running = site.edges.get(0);
        Site.Node frozen = site.edges.get(1);
        for (int i = 0; i < 6; i++) {
            // instances are up, and both edges have sent before
            send(callers, i % 2 == 0 ? running : frozen, "warm-" + i);
        }
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < OPERATIONS; i++) {
            Socket connection = new Socket(frozen.ip, site.frontPort);
            kept.add(connection);
            callers.attempt(connection, frozen, callers.newId(), "GET", "/read/" + i, Map.of("Brambletray-Credential", KEY));
        }
        Callers.pause(3_000);

        double frozenAt = record.seconds();
        if (trouble) {
            frozen.signal("STOP");
        }
        Map<String, Object> change = new LinkedHashMap<>();
        change.put("revision", 2);
        change.put(
                "upsert",
                Map.of(
                        "tenants",
                        List.of(
                                tenant("household", List.of("zx81kq4t0m7r5n2w9c3v")),
                                tenant("village", List.of("ddbadrvm6brf73em4p2n", KEY)))));
        Http.Message answer = operator.call(
                "POST /brambletray/configuration/modify HTTP/1.1",
                Map.of("Host", "control", "Content-Type", "application/json", "Brambletray-Base-Revision", "1"),
                Json.write(change).getBytes(StandardCharsets.UTF_8),
                5);
        double acknowledgedAt = record.seconds();
        if (!acknowledged(answer)) {
            record.say("the change is not acknowledged");
            if (trouble) {
                frozen.signal("CONT");
            }
            return 2;
        }
        record.say("the key belongs to tenant village: acknowledged " + Math.round((acknowledgedAt - frozenAt) * 1000)
                + " ms after the edge has stopped");
        Callers.pause(200);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < OPERATIONS; i++) {
            String operation = "top-up-" + i;
            Socket connection = kept.get(i);
            Thread client = new Thread(() -> {
                send(callers, running, operation);
                // "some are also sent again after a good answer, ... and from another zone"
                callers.attempt(connection, frozen, callers.newId(), "POST", "/topup/" + operation, headers(operation));
            });
            client.start();
            clients.add(client);
        }
        Callers.pause((long) (FREEZE_MS - (record.seconds() - frozenAt) * 1000));
        if (trouble) {
            frozen.signal("CONT");
            record.say(frozen.name + " stood still for " + Math.round((record.seconds() - frozenAt) * 1000) + " ms");
        }
        for (Thread client : clients) {
            client.join();
        }
        Callers.pause(500);
        callers.end();
        platform.close();
        int once = 0;
        int twice = 0;
        for (int i = 0; i < OPERATIONS; i++) {
            List<Run> all = runs.getOrDefault("top-up-" + i, List.of());
            once += all.isEmpty() ? 0 : 1;
            if (all.size() > 1 && all.get(1).atS() - all.get(0).atS() < KEY_WINDOW_S) {
                twice++;
                record.say("top-up-" + i + " ran twice: " + all);
            }
        }
        record.say("TWICE: " + twice + " of " + OPERATIONS + " operations ran twice, " + once + " ran");
        return once < OPERATIONS / 2 ? 2 : twice > 0 ? 1 : 0;
    }

    private static void send(Callers callers, Site.Node edge, String operation) {
        callers.attempt(
                edge,
                callers.newId(),
                "POST",
                "/topup/" + operation,
                Callers.DEADLINE_MS,
                headers(operation));
    }

    private static Map<String, String> headers(String operation) {
        return Map.of("Brambletray-Credential", KEY, "Brambletray-Operation-Key", operation);
    }

    private static Map<String, Object> tenant(String name, List<String> keys) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", name);
        tenant.put("api-keys", keys);
        tenant.put("priority", 1);
        return tenant;
    }

    private static boolean acknowledged(Http.Message answer) {
        return answer != null && answer.status() == 200;
    }

    private static boolean ready(Callers callers, Record record, double forS) {
        double until = record.seconds() + forS;
        while (callers.ready().size() < 6 && record.seconds() < until) {
            Callers.pause(100);
        }
        return callers.ready().size() == 6;
    }
}
