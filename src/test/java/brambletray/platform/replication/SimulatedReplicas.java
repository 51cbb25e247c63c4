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
    private record Event(long at, long seq, SimulatedReplica node, int boot, Runnable run) {}

    /** One direction of a link. */
    static final class Link {
        boolean cut;
        int delayMs = 2;
        double loss;
        /** Bytes a ms; 0 for a link that takes no time. */
        int rate;
        /** When all that was said is out; with more than may wait by then, the link closes and that is lost. */
        double freeAt;

        long bytes;
        int breaks;
        long lastAt;
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
    public java.util.function.Function<SimulatedReplica, SimulatedReplica.Passenger> passengers;
    /** Makes what a process replicates, at its start; null for lists of texts. */
    public Applications applications;
    /** Makes snapshots larger, and changes. */
    String ballast = "";

    String padding = "";
    public long now = 1000;
    private long seq;
    /** Frames sent so far; and a chance to act on one before it goes: returns false to lose it. */
    long frames;

    Tap tap = (from, to, frame) -> true;
    /** How a frame comes to the other side. */
    java.util.function.UnaryOperator<Object> post = frame -> frame;
    /** Told of each frame once it has been dealt with. */
    java.util.function.BiConsumer<SimulatedReplica, Object> afterMessage = (node, frame) -> {};

    /** Told once a write has begun, and once more when its sync is about to return. */
    java.util.function.Consumer<SimulatedReplica> atDisk = node -> {};

    /** {@code origin}: of the process's proposals. */
    public interface Applications {
        SimulatedReplica.Application make(SimulatedReplica node, long origin);
    }

    interface Tap {
        boolean pass(SimulatedReplica from, String to, Object frame);
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

    void at(SimulatedReplica node, int boot, long when, Runnable run) {
        queue.add(new Event(when, ++seq, node, boot, run));
    }

    /** Something that is no process's doing. */
    public void later(long when, Runnable run) {
        at(null, 0, when, run);
    }

    int syncMs(SimulatedReplicaDisk disk) {
        return jitter ? disk.syncMs + random.nextInt(disk.syncMs + 1) / 2 : disk.syncMs;
    }

    public void send(SimulatedReplica from, String to, Object frame) {
        frames++;
        if (!tap.pass(from, to, frame) || from.down) {
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
        if (link.rate > 0) {
            later(from, target, link, size, post.apply(frame));
            return;
        }
        int delay = link.delayMs + (jitter ? random.nextInt(link.delayMs + 1) : 0);
        link.lastAt = Math.max(link.lastAt, now + delay);
        if (!target.isRunning()) {
            at(from, from.processNumber, now + 2L * delay, () -> from.replica.onDisconnected(to, now));
            return;
        }
        Object response = post.apply(frame);
        at(target, target.processNumber, link.lastAt, () -> target.hear(from.address, response));
    }

    /** A frame on a link that takes its time: whole frames, one after the other. */
    private void later(SimulatedReplica from, SimulatedReplica target, Link link, int size, Object frame) {
        if ((link.freeAt - now) * link.rate > MessageSizes.MAX_PENDING_BYTES) {
            link.breaks++;
            link.freeAt = now;
            from.replica.onDisconnected(target.address, now);
            return;
        }
        link.freeAt = Math.max(now, link.freeAt) + (double) size / link.rate;
        int breaks = link.breaks;
        link.lastAt = Math.max(link.lastAt, (long) link.freeAt + link.delayMs);
        if (!target.isRunning()) {
            at(
                    from,
                    from.processNumber,
                    now + 2L * link.delayMs,
                    () -> from.replica.onDisconnected(target.address, now));
            return;
        }
        at(target, target.processNumber, link.lastAt, () -> {
            if (link.breaks == breaks) {
                target.hear(from.address, frame);
            }
        });
    }

    /** Both ways between two machines: bytes a ms. */
    void rate(String a, String b, int bytes) {
        link(a, b).rate = bytes;
        link(b, a).rate = bytes;
    }

    public void cut(String a, String b, boolean cut) {
        one(a, b, cut);
        one(b, a, cut);
    }

    void one(String from, String to, boolean cut) {
        Link link = link(from, to);
        link.cut = cut;
        if (cut) {
            return;
        }
        SimulatedReplica target = nodes.get(to);
        for (Object frame : link.held) {
            if (target.isRunning()) {
                at(target, target.processNumber, now + link.delayMs, () -> target.hear(from, frame));
            }
        }
        link.held.clear();
    }

    public void heal() {
        for (SimulatedReplica node : nodes.values()) {
            node.frozenUntil = Math.min(node.frozenUntil, now);
            thaw(node);
            node.disk.full = false;
            node.disk.hungUntil = 0;
            node.disk.syncMs = 5;
        }
        for (String a : nodes.keySet()) {
            for (String b : nodes.keySet()) {
                Link link = link(a, b);
                link.loss = 0;
                link.delayMs = 2;
                if (link.rate > 0) {
                    // what waits in a slow link is lost with it
                    link.breaks++;
                    link.freeAt = now;
                    link.lastAt = now;
                    link.rate = 0;
                    if (nodes.get(a).isRunning()) {
                        nodes.get(a).replica.onDisconnected(b, now);
                    }
                }
                one(a, b, false);
            }
        }
    }

    /** Plays until a time. */
    public void until(long when) {
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
            if (node.processNumber != event.boot || node.down) {
                return true;
            }
            if (node.frozenUntil > now) {
                if (node.deferred.isEmpty()) {
                    later(node.frozenUntil, () -> thaw(node));
                }
                node.deferred.add(() -> at(node, event.boot, now, event.run));
                return true;
            }
        }
        event.run.run();
        return true;
    }

    /** What a frozen process has missed comes to it all at once, in order. */
    private void thaw(SimulatedReplica node) {
        if (node.frozenUntil > now) {
            later(node.frozenUntil, () -> thaw(node));
            return;
        }
        List<Runnable> all = List.copyOf(node.deferred);
        node.deferred.clear();
        all.forEach(Runnable::run);
    }

    /** Plays on until the condition holds; fails after the span. */
    public long await(java.util.function.BooleanSupplier condition, long span, String what) {
        long begin = now;
        while (!condition.getAsBoolean()) {
            if (now - begin > span) {
                ruleChecker.fail("not within " + span + " ms: " + what);
            }
            until(now + 10);
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
