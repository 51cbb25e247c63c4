package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Machines, links and disks in simulated time. One seed gives one scenario of events. */
public final class SimulatedReplicas {
    private record Event(long at, long seq, SimulatedReplica node, int process, Runnable run) {}

    /** One direction of a link. */
    static final class Link {
        boolean cut;
        int delayMs = 2;
        double loss;
        /** Bytes a ms; 0 for a link that takes no time. */
        int bytesPerMs;
        /** When all that was said is out; with more than may wait by then, the link closes and that is lost. */
        double queueEmptyAt;

        long bytes;
        int disconnects;
        long lastDeliveryAt;
        final List<Object> held = new ArrayList<>();
    }

    public final Random random;
    final ReplicationSettings settings;
    public final RuleChecker ruleChecker = new RuleChecker(this);
    public final Map<String, SimulatedReplica> nodes = new LinkedHashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.seq, b.seq));
    public final List<String> events = new ArrayList<>();
    public boolean logsEvents;
    public boolean jitter = true;
    /** Makes what rides on a process at its start; null for nothing. */
    public java.util.function.Function<SimulatedReplica, SimulatedReplica.AdditionalComponent> additionalComponents;
    /** Makes what a process replicates, at its start; null for lists of texts. */
    public ApplicationFactory applications;
    /** Makes snapshots larger, and changes. */
    String snapshotPadding = "";

    String changePadding = "";
    public long now = 1000;
    private long seq;
    /** Frames sent so far; and a chance to act on one before it goes: returns false to lose it. */
    long messageCount;

    SendFilter sendFilter = (from, to, frame) -> true;
    /** How a frame comes to the other side. */
    java.util.function.UnaryOperator<Object> messageTransform = frame -> frame;
    /** Told of each frame once it has been dealt with. */
    java.util.function.BiConsumer<SimulatedReplica, Object> afterMessage = (node, frame) -> {};

    /** Told once a write has begun, and once more when its sync is about to return. */
    java.util.function.Consumer<SimulatedReplica> onDiskWrite = node -> {};

    /** {@code origin}: of the process's proposals. */
    public interface ApplicationFactory {
        SimulatedReplica.Application create(SimulatedReplica node, long origin);
    }

    interface SendFilter {
        boolean maySend(SimulatedReplica from, String to, Object frame);
    }

    public SimulatedReplicas(long seed, ReplicationSettings settings) {
        random = new Random(seed);
        this.settings = settings;
    }

    public SimulatedReplica node(String address, List<String> seeds) {
        SimulatedReplica node = new SimulatedReplica(this, address, seeds);
        nodes.put(address, node);
        return node;
    }

    Link link(String from, String to) {
        return links.computeIfAbsent(from + ">" + to, key -> new Link());
    }

    void scheduleFor(SimulatedReplica node, int boot, long when, Runnable run) {
        queue.add(new Event(when, ++seq, node, boot, run));
    }

    /** Something that is no process's doing. */
    public void schedule(long when, Runnable run) {
        scheduleFor(null, 0, when, run);
    }

    int syncMs(SimulatedReplicaDisk disk) {
        return jitter ? disk.syncMs + random.nextInt(disk.syncMs + 1) / 2 : disk.syncMs;
    }

    public void send(SimulatedReplica from, String to, Object frame) {
        messageCount++;
        if (!sendFilter.maySend(from, to, frame) || from.down) {
            return;
        }
        SimulatedReplica target = nodes.get(to);
        Link link = link(from.address, to);
        if (link.cut) {
            if (link.held.size() < 64 && random.nextInt(3) == 0) {
                link.held.add(frame);
            }
            return;
        }
        if (target == null || (link.loss > 0 && random.nextDouble() < link.loss)) {
            return;
        }
        int size = MessageSizes.bytes(frame);
        if (size > MessageSizes.MAX_FRAME_BYTES) {
            ruleChecker.fail(from.address + " says a frame of " + size + " bytes: "
                    + frame.getClass().getSimpleName());
        }
        link.bytes += size;
        if (link.bytesPerMs > 0) {
            schedule(from, target, link, size, messageTransform.apply(frame));
            return;
        }
        int delay = link.delayMs + (jitter ? random.nextInt(link.delayMs + 1) : 0);
        link.lastDeliveryAt = Math.max(link.lastDeliveryAt, now + delay);
        if (!target.isRunning()) {
            scheduleFor(from, from.processNumber, now + 2L * delay, () -> from.replica.onDisconnected(to, now));
            return;
        }
        Object response = messageTransform.apply(frame);
        scheduleFor(target, target.processNumber, link.lastDeliveryAt, () -> target.deliver(from.address, response));
    }

    /** A frame on a link that takes its time: whole frames, one after the other. */
    private void schedule(SimulatedReplica from, SimulatedReplica target, Link link, int size, Object frame) {
        if ((link.queueEmptyAt - now) * link.bytesPerMs > MessageSizes.MAX_PENDING_BYTES) {
            link.disconnects++;
            link.queueEmptyAt = now;
            from.replica.onDisconnected(target.address, now);
            return;
        }
        link.queueEmptyAt = Math.max(now, link.queueEmptyAt) + (double) size / link.bytesPerMs;
        int breaks = link.disconnects;
        link.lastDeliveryAt = Math.max(link.lastDeliveryAt, (long) link.queueEmptyAt + link.delayMs);
        if (!target.isRunning()) {
            scheduleFor(
                    from,
                    from.processNumber,
                    now + 2L * link.delayMs,
                    () -> from.replica.onDisconnected(target.address, now));
            return;
        }
        scheduleFor(target, target.processNumber, link.lastDeliveryAt, () -> {
            if (link.disconnects == breaks) {
                target.deliver(from.address, frame);
            }
        });
    }

    /** Both ways between two machines: bytes a ms. */
    void setBandwidth(String a, String b, int bytes) {
        link(a, b).bytesPerMs = bytes;
        link(b, a).bytesPerMs = bytes;
    }

    public void setCut(String a, String b, boolean cut) {
        setOneWayCut(a, b, cut);
        setOneWayCut(b, a, cut);
    }

    void setOneWayCut(String from, String to, boolean cut) {
        Link link = link(from, to);
        link.cut = cut;
        if (cut) {
            return;
        }
        SimulatedReplica target = nodes.get(to);
        for (Object frame : link.held) {
            if (target.isRunning()) {
                scheduleFor(target, target.processNumber, now + link.delayMs, () -> target.deliver(from, frame));
            }
        }
        link.held.clear();
    }

    public void heal() {
        for (SimulatedReplica node : nodes.values()) {
            node.frozenUntil = Math.min(node.frozenUntil, now);
            deliverDeferred(node);
            node.disk.full = false;
            node.disk.hungUntil = 0;
            node.disk.syncMs = 5;
        }
        for (String a : nodes.keySet()) {
            for (String b : nodes.keySet()) {
                Link link = link(a, b);
                link.loss = 0;
                link.delayMs = 2;
                if (link.bytesPerMs > 0) {
                    // what waits in a slow link is lost with it
                    link.disconnects++;
                    link.queueEmptyAt = now;
                    link.lastDeliveryAt = now;
                    link.bytesPerMs = 0;
                    if (nodes.get(a).isRunning()) {
                        nodes.get(a).replica.onDisconnected(b, now);
                    }
                }
                setOneWayCut(a, b, false);
            }
        }
    }

    /** Plays until a time. */
    public void runUntil(long when) {
        while (!queue.isEmpty() && queue.peek().at <= when) {
            step();
        }
        now = Math.max(now, when);
    }

    /** Plays the next event; false when there is none. */
    boolean step() {
        Event event = queue.poll();
        if (event == null) {
            return false;
        }
        now = Math.max(now, event.at);
        SimulatedReplica node = event.node;
        if (node != null) {
            if (node.processNumber != event.process || node.down) {
                return true;
            }
            if (node.frozenUntil > now) {
                if (node.deferred.isEmpty()) {
                    schedule(node.frozenUntil, () -> deliverDeferred(node));
                }
                node.deferred.add(() -> scheduleFor(node, event.process, now, event.run));
                return true;
            }
        }
        event.run.run();
        return true;
    }

    /** What a frozen process has missed comes to it all at once, in order. */
    private void deliverDeferred(SimulatedReplica node) {
        if (node.frozenUntil > now) {
            schedule(node.frozenUntil, () -> deliverDeferred(node));
            return;
        }
        List<Runnable> all = List.copyOf(node.deferred);
        node.deferred.clear();
        all.forEach(Runnable::run);
    }

    /** Plays on until the condition holds; fails after the span. */
    public long runUntilTrue(java.util.function.BooleanSupplier condition, long span, String what) {
        long begin = now;
        while (!condition.getAsBoolean()) {
            if (now - begin > span) {
                ruleChecker.fail("not within " + span + " ms: " + what);
            }
            runUntil(now + 10);
        }
        return now - begin;
    }

    public SimulatedReplica leader() {
        for (SimulatedReplica node : nodes.values()) {
            if (node.isRunning() && node.replica.status().isLeader()) {
                return node;
            }
        }
        return null;
    }
}
