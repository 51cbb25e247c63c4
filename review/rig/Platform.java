import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of the platform (page PROTOCOL, "Starting and stopping hosts", "Which hosts there are") with its hosts.
 * Lists lag by {@link Site#LAG_MS}; calls of a fence token below the highest one seen get 403.
 */
final class Platform {
    /** What a host does with a request that it runs. Returns the answer's body; may throw to break off. */
    interface Work {
        byte[] run(Host host, Http.Message request) throws IOException, InterruptedException;
    }

    final class Host {
        final String id;
        final String service;
        final String address;
        final String worker;
        final String zone;
        volatile boolean up;
        volatile boolean stopped;
        ServerSocket server;
        int working;

        Host(String id, String service, String address, String worker, String zone) {
            this.id = id;
            this.service = service;
            this.address = address;
            this.worker = worker;
            this.zone = zone;
        }
    }

    private record Worker(String name, String zone, int memoryMb) {}

    /** A list as it was at a time. */
    private record Shown(long atNs, List<Object> hosts, List<Object> workers) {}

    private final Site site;
    private final Record record;
    private final Work work;
    private final List<Worker> workers = new ArrayList<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Host> byNonce = new HashMap<>();
    private final ArrayDeque<Shown> shown = new ArrayDeque<>();
    private ServerSocket server;
    private long highestFence;
    private int made;
    /** Runs so far, by attempt id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    Platform(Site site, Record record, Work work) {
        this.site = site;
        this.record = record;
        this.work = work;
        for (String zone : Site.ZONES) {
            workers.add(new Worker("w-" + zone + "-1", zone, 7780));
            workers.add(new Worker("w-" + zone + "-2", zone, 7780));
        }
    }

    void open() throws IOException {
        server = Http.serve(new InetSocketAddress("127.0.0.1", site.platformPort), this::handle);
        Thread clock = new Thread(this::remember, "lists");
        clock.setDaemon(true);
        clock.start();
    }

    private void remember() {
        while (!server.isClosed()) {
            synchronized (this) {
                List<Object> list = new ArrayList<>();
                for (Host host : hosts.values()) {
                    if (host.up && !host.stopped) {
                        Map<String, Object> entry = new LinkedHashMap<>();
                        entry.put("instance-id", host.id);
                        entry.put("service", host.service);
                        entry.put("address", host.address);
                        entry.put("zone", host.zone);
                        entry.put("worker", host.worker);
                        entry.put("revision", "v1");
                        entry.put("concurrency-slots", site.services.get(host.service).slots());
                        entry.put("oper-state", "operational");
                        entry.put("cold-remaining-ms", 0);
                        list.add(entry);
                    }
                }
                List<Object> machines = new ArrayList<>();
                for (Worker worker : workers) {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    entry.put("name", worker.name);
                    entry.put("zone", worker.zone);
                    entry.put("memory-mb", worker.memoryMb);
                    entry.put("free-memory-mb", freeMb(worker));
                    entry.put("oper-state", "operational");
                    machines.add(entry);
                }
                shown.add(new Shown(System.nanoTime(), list, machines));
                while (shown.size() > 2 && System.nanoTime() - shown.peek().atNs > 2L * Site.LAG_MS * 1_000_000) {
                    shown.poll();
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized Shown lagging() {
        Shown found = shown.peek();
        for (Shown one : shown) {
            if (System.nanoTime() - one.atNs >= Site.LAG_MS * 1_000_000L) {
                found = one;
            }
        }
        return found;
    }

    private int freeMb(Worker worker) {
        int free = worker.memoryMb;
        for (Host host : hosts.values()) {
            if (host.worker.equals(worker.name) && !host.stopped) {
                free -= site.services.get(host.service).memoryMb();
            }
        }
        return free;
    }

    private boolean handle(Http.Message request, Socket socket) throws IOException {
        String path = request.word(1);
        int status = 200;
        Object answer = Map.of();
        if (path.startsWith("/instances")) {
            Map<String, Object> page = new LinkedHashMap<>();
            page.put("instances", lagging() == null ? List.of() : lagging().hosts);
            page.put("next-token", null);
            answer = page;
        } else if (path.equals("/brambletray/workers")) {
            answer = Map.of("workers", lagging() == null ? List.of() : lagging().workers);
        } else {
            long fence = Long.parseLong(request.headers().getOrDefault("brambletray-fence-token", "0"));
            synchronized (this) {
                if (fence < highestFence) {
                    record.line("platform: " + path + " with fence " + fence + " below " + highestFence + " refused");
                    status = 403;
                } else {
                    highestFence = fence;
                    Map<String, Object> order = Json.object(request.text());
                    if (path.equals("/brambletray/begin")) {
                        Host host = begin(order);
                        status = host == null ? 409 : 200;
                        answer = host == null ? Map.of() : Map.of("instance-id", host.id, "address", host.address);
                    } else {
                        status = stop((String) order.get("instance-id")) ? 200 : 404;
                    }
                }
            }
        }
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        byte[] body = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 " + status + " -", headers, body));
        return true;
    }

    private Host begin(Map<String, Object> order) {
        String service = (String) order.get("service");
        String nonce = service + ' ' + order.get("request-nonce");
        Host known = byNonce.get(nonce);
        if (known != null) {
            return known;
        }
        for (Worker worker : workers) {
            if (worker.name.equals(order.get("worker"))) {
                if (freeMb(worker) < site.services.get(service).memoryMb()) {
                    return null;
                }
                made++;
                String address = "127.9." + made / 250 + '.' + (1 + made % 250) + ':' + site.hostPort;
                Host host = new Host("i-" + site.tag + '-' + made, service, address, worker.name, worker.zone);
                hosts.put(host.id, host);
                byNonce.put(nonce, host);
                record.line("platform: starts " + host.id + " of " + service + " on " + worker.name);
                Thread boot = new Thread(() -> boot(host), "boot");
                boot.setDaemon(true);
                boot.start();
                return host;
            }
        }
        return null;
    }

    private void boot(Host host) {
        try {
            Thread.sleep(site.services.get(host.service).bootMs());
            synchronized (this) {
                if (host.stopped || server.isClosed()) {
                    return;
                }
                String ip = host.address.substring(0, host.address.indexOf(':'));
                host.server = Http.serve(
                        new InetSocketAddress(ip, site.hostPort), (request, socket) -> serve(host, request, socket));
                host.up = true;
            }
        } catch (IOException | InterruptedException e) {
            record.line("platform: " + host.id + " did not start: " + e);
        }
    }

    private boolean stop(String id) throws IOException {
        Host host = hosts.get(id);
        if (host == null) {
            return false;
        }
        if (!host.stopped) {
            record.line("platform: stops " + id);
            host.stopped = true;
            if (host.server != null) {
                host.server.close();
            }
        }
        return true;
    }

    private boolean serve(Host host, Http.Message request, Socket socket) throws IOException, InterruptedException {
        String id = request.header("brambletray-attempt-id");
        String target = request.header("brambletray-target-instance");
        Map<String, String> headers = new LinkedHashMap<>();
        if (id == null) {
            headers.put("Brambletray-Not-Executed", "1");
            return answer(host, socket, 400, headers, new byte[0]);
        }
        headers.put("Brambletray-Attempt-Id", id);
        if (target != null && !target.equals(host.id)) {
            return answer(host, socket, 421, headers, new byte[0]);
        }
        synchronized (host) {
            if (host.working >= site.services.get(host.service).slots()) {
                headers.put("Brambletray-Not-Executed", "1");
                return answer(host, socket, 503, headers, new byte[0]);
            }
            host.working++;
        }
        try {
            runs.merge(id, 1, Integer::sum);
            record.line("host " + host.id + ": runs " + id + " " + request.first());
            byte[] body = work.run(host, request);
            headers.put("Brambletray-Response-Seal", Integer.toHexString(java.util.Arrays.hashCode(body)) + "." + host.id);
            return answer(host, socket, 200, headers, body);
        } finally {
            synchronized (host) {
                host.working--;
            }
        }
    }

    private boolean answer(Host host, Socket socket, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        headers.put(host.stopped ? "Connection" : "Keep-Alive", host.stopped ? "close" : "timeout=10");
        socket.getOutputStream().write(Http.bytes("HTTP/1.1 " + status + " -", headers, body));
        return !host.stopped;
    }

    synchronized void close() throws IOException {
        server.close();
        for (Host host : hosts.values()) {
            host.stopped = true;
            if (host.server != null) {
                host.server.close();
            }
        }
    }
}
