package brambletray.platform.provisioning;

import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.ServiceKind;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A platform, edges and one coordinator after the other, in virtual time. The edge named like a zone is home of all
 * queues of it, until it is moved.
 */
final class SimulatedProvisioning {
    static final int LAG = 800;
    static final int PAGE = 15;

    final VirtualTime wires = new VirtualTime();
    final FlakyPlatform cloud;
    final Map<String, Edge> edges = new LinkedHashMap<>();
    final Map<String, InstanceSize> configuration = new LinkedHashMap<>();
    private final Map<String, String> moved = new HashMap<>();
    private final Map<String, String> zones = new LinkedHashMap<>();
    private final double dutyRate;
    private long term;
    SimulatedCoordinator coordinator;

    /** {@code dutyRate}: what the platform accepts; {@code thought}: what we were told it accepts. */
    SimulatedProvisioning(double dutyRate, double thought) {
        this.dutyRate = thought;
        this.cloud = new FlakyPlatform(wires, new PlatformParameters(LAG, 26, dutyRate, PAGE, 3_000, 2_000, 2_500), 7);
    }

    void worker(String name, String zone, String region, int mb) {
        zones.put(zone, region);
        cloud.stand.worker(name, zone, mb, wires.now());
    }

    void service(String name, int mb, int bootMs) {
        configuration.put(name, new InstanceSize(mb, bootMs));
        cloud.stand.service(name, new ServiceKind(mb, bootMs, 0));
    }

    Edge edge(String name) {
        return edges.computeIfAbsent(name, fresh -> new Edge(this, fresh));
    }

    String home(String service, String zone) {
        Edge home = edge(moved.getOrDefault(zone, zone));
        return home.dead ? null : home.name;
    }

    /** The zone has another home. */
    void move(String service, String zone, String edge) {
        inherit(zone, edge);
        edge(edge).say(new HomeClaim(service, zone));
    }

    /** The zone has another home that doesn't know yet that it is wanted. */
    void inherit(String zone, String edge) {
        edge(moved.getOrDefault(zone, zone)).needs.clear();
        moved.put(zone, edge);
    }

    void hubWins() {
        coordinator =
                new SimulatedCoordinator(this, new PlatformTerms(zones, LAG, 26, dutyRate), ++term, configuration);
        Set<String> living = new TreeSet<>();
        edges.values().forEach(edge -> {
            if (!edge.dead) {
                living.add(edge.name);
                edge.coordinator();
            }
        });
        coordinator.provisioner.expectReportsFrom(living);
    }

    void hubDies() {
        coordinator.dead = true;
        coordinator = null;
    }

    void edgeDies(String name) {
        edge(name).dead = true;
        wires.in(200, () -> {
            if (coordinator != null) {
                coordinator.provisioner.onEdgeGone(name, wires.now());
            }
        });
    }

    void add(String service) {
        configuration.put(service, new InstanceSize(400, 500));
        coordinator.provisioner.onConfigurationChanged(configuration, wires.now());
    }

    void drop(String service) {
        configuration.remove(service);
        coordinator.provisioner.onConfigurationChanged(configuration, wires.now());
    }
}
