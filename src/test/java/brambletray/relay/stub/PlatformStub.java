package brambletray.relay.stub;

import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayProcess;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** What a relay needs round it, on loopback: an agent of discovery and its configuration; scripted by the test. */
public final class PlatformStub implements AutoCloseable {
    public static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    public static final long PATIENCE_S = Long.getLong("patience", 30);

    public final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    /** Statuses for the next notices; 204 when none is left. */
    public final BlockingQueue<Integer> noticeStatuses = new LinkedBlockingQueue<>();
    /** Answers to the next watches. */
    public final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
    /** Queries of the watches that came. */
    public final BlockingQueue<String> watches = new LinkedBlockingQueue<>();
    /** Calls that a relay may have out. */
    public int slots = 16;
    /** More fields of the configuration, each with a comma behind it. */
    public String more = "";
    /** Messages that one call may carry. */
    public int bundle = 1;
    /** Messages that it may hold. */
    public int openCap = 4;

    private final HttpServer agent;
    private final Path folder;

    public PlatformStub(Path folder) throws IOException {
        this.folder = folder;
        agent = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
        agent.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        agent.createContext("/reports", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Integer status = noticeStatuses.poll();
            exchange.sendResponseHeaders(status == null ? 204 : status, -1);
            exchange.close();
            body.lines().forEach(notices::add);
        });
        agent.createContext("/v1/servers", exchange -> {
            try {
                watches.add(exchange.getRequestURI().toString());
                byte[] list = changes.take().getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, list.length);
                exchange.getResponseBody().write(list);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            exchange.close();
        });
        agent.start();
    }

    public static String host(String name, int port, int block, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port
                + "\",\"site\":\"a\",\"class\":\"m2\",\"block\":" + block + ",\"health\":\"" + health
                + "\",\"share\":50,\"born_ms\":0}";
    }

    public static String list(int version, boolean whole, String... hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Starts a relay that knows these hosts; classes: bill (keyed), pay (unsafe). */
    public RelayProcess relay(String... hosts) throws Exception {
        return new RelayProcess(Config.read(configure(this, hosts)));
    }

    /** Writes the configuration, with discovery at one platform's agent, and returns the environment. */
    public Map<String, String> configure(PlatformStub discovery, String... hosts) throws IOException {
        Path file = folder.resolve("config.json");
        Path state = Files.createDirectories(folder.resolve("state"));
        Files.writeString(file, """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"sockets":1024,"disk_mb":3},%s"known":%s,
             "settings":{"rank":0,"balancers":1,"zone":0,"localities":["a","b"],"kinds":["m1","m2"],
              "weights":"rough","novel":[1],
              "allowed":{"cancel":true,"second-copies":false,"connect-timeout":800,"keepalive":15000,"most-tries":12,
               "open-cap":%d,"max-streams":1,"retry-after":true,"max-retry-after":3000},
              "family-info":{"call-slots":%d,"kind-apart":[true,true],"bundle-max":[%d,%d]},
              "rules":{"stop-sending-within":250,"fall-multiple":2,"tip-after":3000,"cold-from":0.2,"cold":12000},
              "profiles":[{"name":"bill","aim":8000,"hard-limit":16000,"semantics":"dedup","window":15000},
               {"name":"pay","aim":2000,"hard-limit":16000,"semantics":"fragile"}]}}
            """.formatted(
                discovery.agent.getAddress().getPort(), more, list(1, true, hosts), openCap, slots, bundle, bundle));
        return Map.of(
                "EDGE_CONFIG",
                file.toString(),
                "EDGE_STATE",
                state.toString(),
                "EDGE_DISCOVERY",
                "127.0.0.1:" + agent.getAddress().getPort());
    }

    public Path journal() {
        return folder.resolve("state").resolve("seg-0000000001");
    }

    /** The next watch's query; null if none comes in a long time. */
    public String watch() throws InterruptedException {
        return watches.poll(PATIENCE_S, TimeUnit.SECONDS);
    }

    public String notice() throws InterruptedException {
        return notices.poll(PATIENCE_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        agent.stop(0);
    }

    /** One client connection. */
    public static final class Client implements AutoCloseable {
        private final Socket socket;

        public Client(RelayProcess relay) throws IOException {
            socket = new Socket(LOOPBACK, relay.address().getPort());
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
        }

        public static List<String> headers(String id, String messageClass, int destination, long time) {
            return List.of(
                    "X-Request-ID: " + id,
                    "X-Priority-Class: " + messageClass,
                    "X-Timeout-Ms: " + time,
                    "Idempotency-Key: key-" + id,
                    "X-Envelope: dest=" + destination);
        }

        /** Hands a message in; the answer's head, with its status line first. */
        public List<String> post(String id, String messageClass, int destination, long time) throws IOException {
            return post("/" + messageClass, headers(id, messageClass, destination, time), "bill \u00e4\0 of " + id);
        }

        public List<String> post(String path, List<String> headers, String text) throws IOException {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            return raw(
                    "POST " + path + " HTTP/1.1\r\nHost: api.internal\r\n" + String.join("\r\n", headers)
                            + "\r\nContent-Length: " + body.length + "\r\n\r\n",
                    body);
        }

        public List<String> raw(String head, byte[] body) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return HostStub.head(socket.getInputStream());
        }

        /** Hands a message in and resets the connection at once, without hearing the answer. */
        public void leaveAfter(String head, String text) throws IOException {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write((head + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** True once the relay has closed the connection. */
        public boolean closed() throws IOException {
            return socket.getInputStream().read() < 0;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
