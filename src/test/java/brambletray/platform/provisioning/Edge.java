package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An edge in a scene: asks with the same nonce until it is answered, quits until it is told, says what it knows to each
 * new coordinator.
 */
class Edge {
    private static final long LINK = 2;
    private static final long AGAIN = 300;

    final String name;
    final Map<String, InstanceInfo> hosts = new LinkedHashMap<>();
    final Map<String, StartRequest> needs = new LinkedHashMap<>();
    final Map<String, StartRefusal> turnedDown = new LinkedHashMap<>();
    final Set<String> leaving = new HashSet<>();
    final Set<String> gone = new HashSet<>();
    private final Map<String, StopRequest> quits = new LinkedHashMap<>();
    private final SimulatedProvisioning scene;
    boolean dead;
    boolean asleep;
    boolean deaf;
    int empties;
    private final List<Runnable> slept = new ArrayList<>();

    Edge(SimulatedProvisioning scene, String name) {
        this.scene = scene;
        this.name = name;
        scene.wires.every(AGAIN, this::again);
    }

    void need(StartRequest need) {
        needs.put(need.nonce(), need);
        say(need);
    }

    void quit(InstanceInfo host) {
        quits.put(host.id(), new StopRequest(host.id(), host.service()));
        say(quits.get(host.id()));
    }

    void say(Object frame) {
        if (asleep) {
            slept.add(() -> say(frame));
        } else if (!dead) {
            scene.wires.in(LINK, () -> {
                if (scene.coordinator != null) {
                    scene.coordinator.heard(name, frame);
                }
            });
        }
    }

    void wake() {
        asleep = false;
        slept.forEach(Runnable::run);
        slept.clear();
    }

    private void again() {
        if (asleep) {
            return;
        }
        needs.values().forEach(this::say);
        quits.values().forEach(this::say);
        for (InstanceInfo host : hosts.values()) {
            if (host.state() == InstanceInfo.BOOTING && scene.cloud.stand.up(host.id(), scene.wires.now())) {
                say(new InstanceUp(host.id(), host.service()));
            }
        }
    }

    /** There is a new coordinator. */
    void coordinator() {
        say(new KnownInstances(new ArrayList<>(hosts.values())));
    }

    void heard(Object frame) {
        if (dead || deaf) {
            return;
        }
        if (frame instanceof InstanceStarted born) {
            needs.remove(born.nonce());
            hosts.put(born.instance().id(), born.instance());
        } else if (frame instanceof StartRefusal no) {
            needs.remove(no.nonce());
            turnedDown.put(no.nonce(), no);
        } else if (frame instanceof InstanceDraining leave) {
            leaving.add(leave.id());
        } else if (frame instanceof InstanceGone end) {
            hosts.remove(end.id());
            quits.remove(end.id());
            gone.add(end.id());
        } else if (frame instanceof InstanceList all) {
            empties += all.instances().isEmpty() ? 1 : 0;
            all.instances().forEach(host -> hosts.put(host.id(), host));
        }
    }

    /** The host that was started with this nonce. */
    InstanceInfo host(String nonce) {
        List<InstanceInfo> found = new ArrayList<>(hosts.values());
        found.removeIf(host -> !host.nonce().equals(nonce));
        return found.isEmpty() ? null : found.get(0);
    }
}
