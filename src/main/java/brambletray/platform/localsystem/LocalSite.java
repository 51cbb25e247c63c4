package brambletray.platform.localsystem;

import brambletray.platform.settings.Address;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Which machines the stand-in has and what their processes are told: addresses from 127.0.0.2 on, the same ports on
 * each, as the system asks for (page DEPLOY, What a process is told).
 */
record LocalSite(List<ProcessSpec> specs, Ports ports, Path dir) {
    /** The most of each: a view has up to nine members. */
    static final int CORES = 9;

    static final int EDGES = 16;
    /** The zones in which machines and workers stand, in turn. */
    static final List<String> ZONES = List.of("east", "west");
    /** How far the platform's lists lag behind, ms, and the calls that it takes a second. */
    static final int LAG_MS = 800;

    static final int LISTS_PER_S = 26;
    static final int DUTIES_PER_S = 50;
    /** ms from draining until the end; s until an address is given again; s from SIGTERM to SIGKILL. */
    static final int DRAIN_MS = 3_000;

    static final int HOLD_S = 2;
    static final int GRACE_S = 2;

    /** One machine and the program that runs on it; its name is the process's name. */
    record ProcessSpec(String name, String program, String ip, String zone) {
        boolean core() {
            return program.equals("controlplane");
        }
    }

    /** {@code inner}: the first of those between the system's processes; {@code hosts}: of every host. */
    record Ports(int frontEnd, int readiness, int control, int inner, int platform, int hosts) {}

    static LocalSite of(int cores, int edges, Ports ports, Path dir) {
        List<ProcessSpec> specs = new ArrayList<>();
        for (int i = 0; i < cores + edges; i++) {
            boolean core = i < cores;
            int turn = core ? i : i - cores;
            String program = core ? "controlplane" : "edge";
            specs.add(new ProcessSpec(
                    program + '-' + (turn + 1), program, "127.0.0." + (i + 2), ZONES.get(turn % ZONES.size())));
        }
        return new LocalSite(List.copyOf(specs), ports, dir);
    }

    List<ProcessSpec> cores() {
        return specs.stream().filter(ProcessSpec::core).toList();
    }

    List<ProcessSpec> edges() {
        return specs.stream().filter(spec -> !spec.core()).toList();
    }

    /** Null: no process of that name. */
    ProcessSpec find(String name) {
        return specs.stream()
                .filter(spec -> spec.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    List<Address> controls() {
        return cores().stream()
                .map(core -> new Address(core.ip(), ports.control()))
                .toList();
    }

    Address platform() {
        return new Address("127.0.0.1", ports.platform());
    }

    /** The address of the host that is made after so many others: one on loopback that no machine has. */
    String host(int made) {
        return "127.9." + made / 250 % 250 + '.' + (1 + made % 250) + ':' + ports.hosts();
    }

    /** Where a process keeps what is its own. */
    Path folder(ProcessSpec spec) {
        return dir.resolve(spec.name());
    }

    /** The settings file; {@code initial}: the very first start of all. */
    String settings(ProcessSpec spec, boolean initial) {
        List<String> lines = new ArrayList<>(List.of(
                "node-name=" + spec.name(),
                "role=" + spec.program(),
                "hardware-class=" + (spec.core() ? "core" : "edge"),
                "served-roles=" + (spec.core() ? "control" : "edge"),
                "ip-address=" + spec.ip(),
                "zone=" + spec.zone(),
                "region=here"));
        for (String zone : ZONES) {
            lines.add("zones." + zone + "=here");
        }
        if (spec.core()) {
            lines.add("bind-addresses.control-plane=" + spec.ip() + ':' + ports.control());
            lines.add("data-dir=" + folder(spec).resolve("disk").toAbsolutePath());
        } else {
            lines.add("bind-addresses.front-end=" + spec.ip() + ':' + ports.frontEnd());
            lines.add("bind-addresses.readiness=" + spec.ip() + ':' + ports.readiness());
        }
        List<Address> controls = controls();
        lines.add("internal-port-range=" + ports.inner() + ',' + ports.inner());
        lines.add("seed-peers="
                + String.join(
                        ",",
                        controls.subList(0, Math.min(3, controls.size())).stream()
                                .map(Address::toString)
                                .toList()));
        lines.add("initial-start=" + initial);
        lines.add("loss-counted=" + spec.core());
        lines.add("fault-tolerance.machine-losses=" + (controls.size() - 1) / 2);
        lines.add("active-contracts=base,drain,config,cost,retry,recover,functions");
        lines.add("bounds.drain-ms=" + DRAIN_MS);
        lines.add("bounds.reuse-hold-s=" + HOLD_S);
        lines.add("bounds.grace-s=" + GRACE_S);
        lines.add("cloud-api.address=" + platform());
        lines.add("cloud-api.rate-per-s=" + LISTS_PER_S);
        lines.add("cloud-api.duty-rate-s=" + DUTIES_PER_S);
        lines.add("cloud-api.lag-ms=" + LAG_MS);
        return String.join("\n", lines) + '\n';
    }
}
