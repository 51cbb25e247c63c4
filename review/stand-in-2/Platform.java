import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform and the hosts that it starts, as PROTOCOL describes them: workers with room, one list of hosts, starts by
 * nonce, hosts that boot, work on {@code slots} requests at once, turn away what is not for them (421) or too much
 * (503 with Brambletray-Not-Executed), echo the attempt's id and seal what they have run.
 */
final class Platform {
    /** What a host does with a request that it runs; the body of its answer. */
    interface Work {
        byte[] run(Host host, Http.Message request) throws InterruptedException;
    }

    /** A function, as the configuration has it. */
    record Function(int memoryMb, int bootMs, int slots) {}

    /** One host. */
    final class Host {
        final String id;
        final String service;
        final String worker;
        final String zone;
        final String ip;
        final Function function;
        final long upAtMs;
        private final AtomicInteger atWork = new AtomicInteger();
        private volatile ServerSocket listener;
        private volatile boolean ended;

        Host(String id, String service, String worker, String zone, String ip, Function function) {
            this.id = id;
            this.service = service;
            this.worker = worker;
            this.zone = zone;
            this.ip = ip;
            this.function = function;
            upAtMs = System.nanoTime() / 1_000_000 + function.bootMs();
        }

        String address() {
            return ip + ':' + hostPort;
        }

        private void live() {
            try {
                Thread.sleep(function.bootMs());
                if (ended) {
                    return;
                }
                listener = new ServerSocket(hostPort, 200, InetAddress.getByName(ip));
                while (!ended) {
                    Socket socket = listener.accept();
                    start(() -> serve(socket));
                }
            } catch (IOException | InterruptedException e) {
                if (!ended) {
                    system.record("host " + id + " failed: " + e);
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                    answer(request, out);
                }
            } catch (IOException | RuntimeException e) {
                // the caller has left
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
            String attempt = request.header("Brambletray-Attempt-Id");
            String echo = attempt == null ? "" : "Brambletray-Attempt-Id: " + attempt + "\r\n";
            String target = request.header("Brambletray-Target-Instance");
            if (target != null && !target.equals(id)) {
                refuse(out, "421 Misdirected Request", echo);
            } else if (attempt == null) {
                refuse(out, "400 Bad Request", echo);
            } else if (atWork.incrementAndGet() > function.slots()) {
                atWork.decrementAndGet();
                refuse(out, "503 Service Unavailable", echo);
            } else {
                byte[] body;
                try {
                    body = work.run(this, request);
                } finally {
                    atWork.decrementAndGet();
                }
                Http.write(
                        out,
                        "HTTP/1.1 200 OK\r\n" + echo + "Brambletray-Response-Seal: " + id + '.' + attempt
                                + "\r\nContent-Length: " + body.length + "\r\n\r\n",
                        body);
            }
        }

        private void refuse(OutputStream out, String status, String echo) throws IOException {
            Http.write(
                    out,
                    "HTTP/1.1 " + status + "\r\n" + echo
                            + "Brambletray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    new byte[0]);
        }

        void end() {
            ended = true;
            try {
                if (listener != null) {
                    listener.close();
                }
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    private static final int LAG_MS = 800;

    private final Sys system;
    private final int hostPort;
    private final Work work;
    private final Map<String, Function> functions;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Host> byNonce = new ConcurrentHashMap<>();
    private int started;
    private HttpServer server;

    Platform(Sys system, int hostPort, Map<String, Function> functions, Work work) {
        this.system = system;
        this.hostPort = hostPort;
        this.functions = functions;
        this.work = work;
    }

    static void start(Runnable what) {
        Thread thread = new Thread(what);
        thread.setDaemon(true);
        thread.start();
    }

    void open(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    private void handle(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        int status = 200;
        String answer = "{}";
        synchronized (this) {
            switch (call.getRequestURI().getPath()) {
                case "/instances" -> answer = list();
                case "/brambletray/workers" -> answer = workers();
                case "/brambletray/begin" -> {
                    Host host = begin(field(body, "service"), field(body, "worker"), field(body, "request-nonce"));
                    status = host == null ? 409 : 200;
                    answer = host == null
                            ? "{}"
                            : "{\"instance-id\":\"" + host.id + "\",\"address\":\"" + host.address() + "\"}";
                }
                case "/brambletray/stop" -> {
                    Host host = hosts.get(field(body, "instance-id"));
                    status = host == null ? 404 : 200;
                    if (host != null) {
                        host.end();
                    }
                }
                default -> status = 404;
            }
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private static String field(String json, String name) {
        Matcher found = Pattern.compile('"' + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return found.find() ? found.group(1) : "";
    }

    private Host begin(String service, String worker, String nonce) {
        Host known = byNonce.get(service + '/' + nonce);
        Function function = functions.get(service);
        if (known != null || function == null || !worker.startsWith("w-")) {
            return known;
        }
        started++;
        String ip = system.prefix + '.' + (100 + started / 100) + '.' + (1 + started % 100);
        Host host = new Host("i-" + started, service, worker, worker.substring(2), ip, function);
        hosts.put(host.id, host);
        byNonce.put(service + '/' + nonce, host);
        start(host::live);
        return host;
    }

    private String workers() {
        List<String> all = new ArrayList<>();
        for (String zone : system.zones) {
            int used = 0;
            for (Host host : hosts.values()) {
                used += host.zone.equals(zone) && !host.ended ? host.function.memoryMb() : 0;
            }
            all.add("{\"name\":\"w-" + zone + "\",\"zone\":\"" + zone + "\",\"memory-mb\":13278,\"free-memory-mb\":"
                    + (13_278 - used) + ",\"oper-state\":\"operational\"}");
        }
        return "{\"workers\":[" + String.join(",", all) + "]}";
    }

    private String list() {
        List<String> all = new ArrayList<>();
        long now = System.nanoTime() / 1_000_000;
        for (Host host : hosts.values()) {
            if (!host.ended && host.upAtMs + LAG_MS < now) {
                all.add("{\"service\":\"" + host.service + "\",\"address\":\"" + host.address() + "\",\"zone\":\""
                        + host.zone + "\",\"revision\":\"v1\",\"concurrency-slots\":" + host.function.slots()
                        + ",\"oper-state\":\"operational\",\"cold-remaining-ms\":0,\"worker\":\"" + host.worker
                        + "\",\"instance-id\":\"" + host.id + "\"}");
            }
        }
        return "{\"instances\":[" + String.join(",", all) + "],\"next-token\":null}";
    }

    synchronized void end() {
        hosts.values().forEach(Host::end);
        server.stop(0);
    }
}
