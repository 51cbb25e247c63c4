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
 * A helm and edges in virtual time, each edge on a link of so many bytes a ms to it: what is sent on a link waits for
 * all that was sent on it before. Pulses go as the coordinator's do.
 */
final class SimulatedEdges {
    static final int PULSE = 250;
    private static final int HEAD = 60;

    private record Event(long at, long order, Runnable what) {}

    final class Edge implements ConfigurationSubscriber.Actions {
        final int number;
        ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        boolean linked = true;
        long freeAt;
        long bytes;
        int wholes;
        int fetches;
        long lastPulse;
        long longestSilence;
        long took;
        final List<Long> revisions = new ArrayList<>();
        final List<String> faults = new ArrayList<>();
        UnaryOperator<DeltaChunk> onTheWay = chunk -> chunk;
        private int life;

        Edge(int number) {
            this.number = number;
        }

        @Override
        public void sendRequest(DeltaRequest fetch) {
            fetches++;
            if (!linked) {
                return;
            }
            int asked = life;
            ConfigurationPublisher to = coordinator;
            at(now + way, () -> {
                if (asked == life && to == coordinator) {
                    DeltaChunk chunk = coordinator.nextChunk(fetch, term);
                    if (chunk != null) {
                        wholes += chunk.offset() == 0 && chunk.totalBytes() > DeltaChunk.CHUNK_BYTES ? 1 : 0;
                        send(chunk.bytes().length, () -> subscriber.onChunk(onTheWay.apply(chunk), now));
                    }
                }
            });
        }

        /** Over the link, behind what is on it. */
        void send(int size, Runnable arrival) {
            int sent = life;
            bytes += size + HEAD;
            freeAt = Math.max(freeAt, now) + Math.max(1, (size + HEAD) / rate);
            at(freeAt + way, () -> {
                if (sent == life && linked) {
                    arrival.run();
                }
            });
        }

        /** What is on the way is lost. */
        void cut() {
            life++;
            linked = false;
            freeAt = now;
        }

        void join() {
            linked = true;
            lastPulse = now;
            subscriber.onLinkUp(now);
        }

        void restart() {
            cut();
            subscriber = new ConfigurationSubscriber(this);
            join();
        }

        @Override
        public void onConfiguration(Configuration configuration, int size, long ms) {
            revisions.add(configuration.revision());
            took = now;
        }

        @Override
        public void onRejected(ConfigurationException fault) {
            faults.add(fault.code());
        }
    }

    final ChangeHistory history = new ChangeHistory();
    final List<Edge> edges = new ArrayList<>();
    ConfigurationPublisher coordinator = new ConfigurationPublisher(history);
    long term = 1;
    long now;
    /** ms one way. */
    int way = 1;

    private final int rate;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long order;

    /** {@code rate}: bytes a ms of each link. */
    SimulatedEdges(int edges, int rate) {
        this.rate = rate;
        IntStream.range(0, edges).forEach(i -> this.edges.add(new Edge(i)));
        pulse();
        for (Edge edge : this.edges) {
            ticks(edge);
        }
    }

    void at(long when, Runnable what) {
        events.add(new Event(Math.max(when, now), order++, what));
    }

    private void pulse() {
        edges.forEach(this::pulse);
        at(now + PULSE, this::pulse);
    }

    private void pulse(Edge edge) {
        if (edge.linked) {
            long revision = coordinator.revision();
            edge.send(20, () -> {
                edge.longestSilence = Math.max(edge.longestSilence, now - edge.lastPulse);
                edge.lastPulse = now;
                edge.subscriber.onNewestRevision(revision, now);
            });
        }
    }

    private void ticks(Edge edge) {
        edge.subscriber.tick(now);
        at(now + 50, () -> ticks(edge));
    }

    /** In force here, and pulsed at once. */
    void become(Configuration configuration) {
        history.advanceTo(configuration);
        edges.forEach(this::pulse);
    }

    /** Another member is the coordinator: it has followed along, and has packed nothing yet. */
    void newCoordinator(ChangeHistory known) {
        term++;
        coordinator = new ConfigurationPublisher(known);
        for (Edge edge : edges) {
            edge.cut();
            edge.join();
            pulse(edge);
        }
    }

    void run(long ms) {
        long until = now + ms;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = until;
    }

    boolean all(long revision) {
        return edges.stream().allMatch(edge -> edge.subscriber.configuration().revision() == revision);
    }

    /** ms until all have this revision, at most so many. */
    long untilAll(long revision, int most) {
        long from = now;
        while (!all(revision) && now - from < most) {
            run(1);
        }
        return now - from;
    }

    static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** So many services with a route each. */
    static Configuration large(long revision, int count) {
        return Configuration.read(
                bytes(
                        "{'revision':" + revision + ",'routes':["
                                + IntStream.range(0, count)
                                        .mapToObj(i -> route("r" + i, i * 7919L % 99_991))
                                        .collect(Collectors.joining(","))
                                + "],'services':[{'name':'s','max-connections':72,'memory-mb':512,'boot-ms':750,'max-concurrency':4}]}"));
    }

    /** One that packs badly: {@code bytes} of digits at random in it. */
    static Configuration dense(long revision, int bytes) {
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

    static Configuration moved(Configuration base, String route, long path) {
        return base.modify(
                bytes("{'revision':" + (base.revision() + 1) + ",'upsert':{'routes':[" + route(route, path) + "]}}"));
    }

    static DeltaChunk broken(DeltaChunk chunk) {
        byte[] other = Arrays.copyOf(chunk.bytes(), chunk.bytes().length);
        other[other.length / 2] ^= 4;
        return new DeltaChunk(
                chunk.term(), chunk.revision(), chunk.transferId(), chunk.totalBytes(), chunk.offset(), other);
    }
}
