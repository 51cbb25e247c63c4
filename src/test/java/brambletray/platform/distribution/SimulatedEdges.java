package brambletray.platform.distribution;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Simulates a coordinator and its edges in virtual time. Each edge has a link of limited bandwidth on which messages
 * queue behind those sent before. Heartbeats are sent at the coordinator's interval.
 */
final class SimulatedEdges {
    static final int HEARTBEAT_INTERVAL_MS = 250;
    private static final int FRAME_HEADER_BYTES = 60;

    private record Event(long atMs, long order, Runnable action) {}

    final class Edge implements ConfigurationSubscriber.Actions {
        final int number;
        ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        boolean connected = true;
        long linkFreeAtMs;
        long bytes;
        int fullTransfers;
        int requests;
        long lastHeartbeatMs;
        long longestHeartbeatGapMs;
        long appliedAtMs;
        final List<Long> revisions = new ArrayList<>();
        final List<String> errors = new ArrayList<>();
        UnaryOperator<DeltaChunk> chunkFilter = chunk -> chunk;
        private int linkGeneration;

        Edge(int number) {
            this.number = number;
        }

        @Override
        public void sendRequest(DeltaRequest request) {
            requests++;
            if (!connected) {
                return;
            }
            int sentInGeneration = linkGeneration;
            ConfigurationPublisher receiver = coordinator;
            schedule(now + oneWayDelayMs, () -> {
                if (sentInGeneration == linkGeneration && receiver == coordinator) {
                    DeltaChunk chunk = coordinator.nextChunk(request, term);
                    if (chunk != null) {
                        fullTransfers += chunk.offset() == 0 && chunk.totalBytes() > DeltaChunk.CHUNK_BYTES ? 1 : 0;
                        send(chunk.bytes().length, () -> subscriber.onChunk(chunkFilter.apply(chunk), now));
                    }
                }
            });
        }

        /** Sends to the edge, queued behind what is already on the link. */
        void send(int size, Runnable arrival) {
            int sentInGeneration = linkGeneration;
            bytes += size + FRAME_HEADER_BYTES;
            linkFreeAtMs = Math.max(linkFreeAtMs, now) + Math.max(1, (size + FRAME_HEADER_BYTES) / bytesPerMs);
            schedule(linkFreeAtMs + oneWayDelayMs, () -> {
                if (sentInGeneration == linkGeneration && connected) {
                    arrival.run();
                }
            });
        }

        /** Closes the link; messages in flight are lost. */
        void disconnect() {
            linkGeneration++;
            connected = false;
            linkFreeAtMs = now;
        }

        void connect() {
            connected = true;
            lastHeartbeatMs = now;
            subscriber.onLinkUp(now);
        }

        void restart() {
            disconnect();
            subscriber = new ConfigurationSubscriber(this);
            connect();
        }

        @Override
        public void onConfiguration(Configuration configuration, int size, long ms) {
            revisions.add(configuration.revision());
            appliedAtMs = now;
        }

        @Override
        public void onRejected(ConfigurationException error) {
            errors.add(error.code());
        }
    }

    final ChangeHistory history = new ChangeHistory();
    final List<Edge> edges = new ArrayList<>();
    ConfigurationPublisher coordinator = new ConfigurationPublisher(history);
    long term = 1;
    long now;
    /** One-way latency of each link, ms. */
    int oneWayDelayMs = 1;

    private final int bytesPerMs;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private long order;

    /** {@code bytesPerMs}: bandwidth of each link. */
    SimulatedEdges(int edges, int bytesPerMs) {
        this.bytesPerMs = bytesPerMs;
        IntStream.range(0, edges).forEach(i -> this.edges.add(new Edge(i)));
        sendHeartbeat();
        for (Edge edge : this.edges) {
            scheduleTicks(edge);
        }
    }

    void schedule(long when, Runnable what) {
        events.add(new Event(Math.max(when, now), order++, what));
    }

    private void sendHeartbeat() {
        edges.forEach(this::sendHeartbeat);
        schedule(now + HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
    }

    private void sendHeartbeat(Edge edge) {
        if (edge.connected) {
            long revision = coordinator.revision();
            edge.send(20, () -> {
                edge.longestHeartbeatGapMs = Math.max(edge.longestHeartbeatGapMs, now - edge.lastHeartbeatMs);
                edge.lastHeartbeatMs = now;
                edge.subscriber.onNewestRevision(revision, now);
            });
        }
    }

    private void scheduleTicks(Edge edge) {
        edge.subscriber.tick(now);
        schedule(now + 50, () -> scheduleTicks(edge));
    }

    /** Publishes the configuration at the coordinator and announces it at once. */
    void publish(Configuration configuration) {
        history.advanceTo(configuration);
        edges.forEach(this::sendHeartbeat);
    }

    /** Makes another member the coordinator; it has the given history and nothing cached. */
    void replaceCoordinator(ChangeHistory knownHistory) {
        term++;
        coordinator = new ConfigurationPublisher(knownHistory);
        for (Edge edge : edges) {
            edge.disconnect();
            edge.connect();
            sendHeartbeat(edge);
        }
    }

    void run(long ms) {
        long until = now + ms;
        while (!events.isEmpty() && events.peek().atMs <= until) {
            Event next = events.poll();
            now = next.atMs;
            next.action.run();
        }
        now = until;
    }

    boolean allAt(long revision) {
        return edges.stream().allMatch(edge -> edge.subscriber.configuration().revision() == revision);
    }

    /** Runs until all edges have this revision, for at most {@code maxMs}; returns the elapsed ms. */
    long runUntilAllAt(long revision, int maxMs) {
        long from = now;
        while (!allAt(revision) && now - from < maxMs) {
            run(1);
        }
        return now - from;
    }

    static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** A configuration of one service and {@code count} routes. */
    static Configuration withRoutes(long revision, int count) {
        return Configuration.read(
                bytes(
                        "{'revision':" + revision + ",'routes':["
                                + IntStream.range(0, count)
                                        .mapToObj(i -> route("r" + i, i * 7919L % 99_991))
                                        .collect(Collectors.joining(","))
                                + "],'services':[{'name':'s','max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}]}"));
    }

    /** A configuration that compresses badly: it contains {@code bytes} random digits. */
    static Configuration incompressible(long revision, int bytes) {
        java.util.Random random = new java.util.Random(revision);
        StringBuilder filler = new StringBuilder();
        while (filler.length() < bytes) {
            filler.append(Long.toString(random.nextLong() >>> 1, 36));
        }
        return Configuration.read(bytes("{'revision':" + revision + ",'routes':[" + route("r", 1)
                + "],'services':[{'name':'s'}],'note':'" + filler + "'}"));
    }

    static String route(String name, long path) {
        return "{'name':'" + name + "','host':'h.example','path-prefix':'/" + path
                + "/','route-type':'idempotent','timeout-ms':2500,'target-ms':400,'priority':2,'service':'s','retry-count':2}";
    }

    static Configuration withRoutePath(Configuration base, String route, long path) {
        return base.modify(
                bytes("{'revision':" + (base.revision() + 1) + ",'upsert':{'routes':[" + route(route, path) + "]}}"));
    }

    static DeltaChunk corrupted(DeltaChunk chunk) {
        byte[] other = Arrays.copyOf(chunk.bytes(), chunk.bytes().length);
        other[other.length / 2] ^= 4;
        return new DeltaChunk(
                chunk.term(), chunk.revision(), chunk.transferId(), chunk.totalBytes(), chunk.offset(), other);
    }
}
