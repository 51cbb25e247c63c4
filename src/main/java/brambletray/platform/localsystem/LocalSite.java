package brambletray.platform.localsystem;

import brambletray.platform.settings.Address;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Which machines the stand-in has and what their processes are told: addresses from 127.0.0.2 on, the same ports on
 * each, as the system asks for (page DEPLOY, What a process is told).
 */
record LocalSite(List<Place> places, Ports ports, Path dir) {
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
    record Place(String name, String program, String ip, String zone) {
        boolean core() {
            return program.equals("controlplane");
        }
    }

    /** {@code inner}: the first of those between the system's processes; {@code hosts}: of every host. */
    record Ports(int frontEnd, int readiness, int control, int inner, int platform, int hosts) {}

    static LocalSite of(int cores, int edges, Ports ports, Path dir) {
        List<Place> places = new ArrayList<>();
        for (int i = 0; i < cores + edges; i++) {
            boolean core = i < cores;
            int turn = core ? i : i - cores;
            String program = core ? "controlplane" : "edge";
            places.add(new Place(
                    program + '-' + (turn + 1), program, "127.0.0." + (i + 2), ZONES.get(turn % ZONES.size())));
        }
        return new LocalSite(List.copyOf(places), ports, dir);
    }

    List<Place> cores() {
        return places.stream().filter(Place::core).toList();
    }

    List<Place> edges() {
        return places.stream().filter(place -> !place.core()).toList();
    }

    /** Null: no process of that name. */
    Place find(String name) {
        return places.stream()
                .filter(place -> place.name().equals(name))
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
    Path folder(Place place) {
        return dir.resolve(place.name());
    }

    /** The settings file; {@code initial}: the very first start of all. */
    String settings(Place place, boolean initial) {
        List<String> lines = new ArrayList<>(List.of(
                "node-name=" + place.name(),
                "role=" + place.program(),
                "hardware-class=" + (place.core() ? "core" : "edge"),
                "served-roles=" + (place.core() ? "control" : "edge"),
                "ip-address=" + place.ip(),
                "zone=" + place.zone(),
                "region=here"));
        for (String zone : ZONES) {
            lines.add("zones." + zone + "=here");
        }
        if (place.core()) {
            lines.add("bind-addresses.control-plane=" + place.ip() + ':' + ports.control());
            lines.add("data-dir=" + folder(place).resolve("disk").toAbsolutePath());
        } else {
            lines.add("bind-addresses.front-end=" + place.ip() + ':' + ports.frontEnd());
            lines.add("bind-addresses.readiness=" + place.ip() + ':' + ports.readiness());
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
        lines.add("loss-counted=" + place.core());
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
