package brambletray.relay.serve;

import brambletray.relay.control.Relay;
import brambletray.relay.mqtt.clients.MqttSettings;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the platform tells one relay at its start. {@code zones} and {@code kinds} hold the names that
 * discovery's list uses, in the order of the numbers that the module knows them by; {@code known} is the list
 * as last had; {@code quotas} a file of them, null for none; {@code console} the operators' address, null for
 * none.
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress console,
        InetSocketAddress discovery,
        Path state,
        long seed,
        int sockets,
        long diskBytes,
        Store.Promise promise,
        Relay.Settings settings,
        List<String> zones,
        List<String> kinds,
        Wire.Fields known,
        MqttSettings mqtt,
        Path quotas) {

    /** us; taken off a key's window besides: for the way to the host. */
    private static final long WINDOW_MARGIN = 100_000;

    /** Of a relay that runs without the platform; {@code settings} as the platform would give them. */
    public static Config of(
            InetSocketAddress listen,
            InetSocketAddress console,
            Path state,
            long seed,
            int sockets,
            long diskBytes,
            Store.Promise promise,
            Wire.Fields settings,
            MqttSettings mqtt,
            Path quotas)
            throws Wire.Malformed, Unusable {
        return new Config(
                listen,
                console,
                null,
                state,
                seed,
                sockets,
                diskBytes,
                promise,
                usable(Wire.settings(settings), mqtt != null),
                names(settings, "localities"),
                names(settings, "kinds"),
                Wire.decode("{}"),
                mqtt,
                checked(quotas));
    }

    /** A configuration that no relay can run with; the message is one plain line. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String fault) {
            super(fault);
        }
    }

    /** Reads the configuration named by the environment. */
    public static Config read(Map<String, String> env) throws Unusable {
        String file = env.get("EDGE_CONFIG");
        String state = env.get("EDGE_STATE");
        if (file == null || state == null) {
            throw new Unusable("EDGE_CONFIG and EDGE_STATE must be set");
        }
        try {
            Wire.Fields all = Wire.decode(Files.readString(Path.of(file)));
            Wire.Fields limits = all.object("limits");
            Wire.Fields settings = all.object("settings");
            return new Config(
                    Addresses.parse(env.getOrDefault("EDGE_LISTEN", all.text("listen", ""))),
                    console(env.getOrDefault("EDGE_CONSOLE", all.text("console", ""))),
                    Addresses.parse(env.getOrDefault("EDGE_DISCOVERY", all.text("discovery", ""))),
                    folder(state),
                    seed(all.text("seed", "0")),
                    (int) limits.whole("sockets", 1024),
                    (long) (limits.number("disk_mb", 3) * 1_000_000),
                    promise(all.text("outlasts", "process")),
                    usable(Wire.settings(settings), all.values().get("mqtt") != null),
                    names(settings, "localities"),
                    names(settings, "kinds"),
                    all.object("known"),
                    all.values().get("mqtt") == null
                            ? null
                            : MqttSettingsLoader.read(Path.of(file).resolveSibling(all.text("mqtt"))),
                    all.values().get("quotas") == null
                            ? null
                            : checked(Path.of(file).resolveSibling(all.text("quotas"))));
        } catch (Wire.Malformed malformed) {
            throw new Unusable("configuration " + file + ": " + malformed.getMessage());
        } catch (IOException e) {
            throw new Unusable("cannot read configuration " + file + ": " + e);
        }
    }

    /**
     * Reads a configuration that has been replaced while the relay runs. The file's address of discovery then
     * counts: the environment is as old as the process.
     */
    static Config readAgain(Map<String, String> env) throws Unusable {
        Map<String, String> later = new HashMap<>(env);
        later.remove("EDGE_DISCOVERY");
        return read(later);
    }

    private static InetSocketAddress console(String address) throws Wire.Malformed {
        if (address.isEmpty()) {
            return null;
        }
        try {
            return Addresses.parse(address);
        } catch (Wire.Malformed malformed) {
            throw new Wire.Malformed("console: " + malformed.getMessage());
        }
    }

    /** A file of quotas that can be used; null for none. */
    private static Path checked(Path quotas) throws Unusable {
        if (quotas != null) {
            QuotaAdmission.check(quotas);
        }
        return quotas;
    }

    /** What a message that was answered 202 outlasts: the process, or the machine. */
    private static Store.Promise promise(String word) throws Unusable {
        return switch (word) {
            case "process" -> Store.Promise.PROCESS;
            case "machine" -> Store.Promise.MACHINE;
            default -> throw new Unusable("outlasts: expected process or machine, not '" + word + "'");
        };
    }

    private static Path folder(String name) throws Unusable {
        Path folder = Path.of(name);
        if (!Files.isDirectory(folder) || !Files.isWritable(folder)) {
            throw new Unusable("EDGE_STATE is no writable folder: " + name);
        }
        return folder;
    }

    private static long seed(String hex) throws Unusable {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Unusable("seed is not a hexadecimal number: " + hex);
        }
    }

    /**
     * Two figures differ on sockets. MQTT carries one message a call, so that the module of a relay that has
     * partners there is told of no bundles. And a call goes out as late as its connection comes up, so the
     * module is told that keys are remembered for so much less: a repeat then still comes inside the true
     * window.
     */
    private static Relay.Settings usable(Relay.Settings settings, boolean mqtt) throws Unusable {
        if (settings.classes().isEmpty()
                || settings.kinds().isEmpty()
                || settings.relays() < 1
                || settings.allowed().slots() < 1
                || settings.allowed().connectTimeout() <= 0
                || settings.allowed().keepAlive() <= 0) {
            throw new Unusable("settings lack classes, kinds, relays, slots or connection times");
        }
        List<Relay.Kind> kinds = settings.kinds().stream()
                .map(kind -> new Relay.Kind(kind.apart(), mqtt ? 1 : kind.bundle()))
                .toList();
        List<Relay.MessageClass> classes = settings.classes().stream()
                .map(messageClass -> new Relay.MessageClass(
                        messageClass.name(),
                        messageClass.latencyTarget(),
                        messageClass.lifetime(),
                        messageClass.value(),
                        messageClass.lateValue(),
                        messageClass.effect(),
                        messageClass.zoneGroup(),
                        Math.max(
                                0,
                                messageClass.dedupWindow() - settings.allowed().connectTimeout() - WINDOW_MARGIN),
                        messageClass.inOrder()))
                .toList();
        return new Relay.Settings(
                settings.rank(),
                settings.relays(),
                settings.zone(),
                settings.halfLifeDecay(),
                settings.overShareValue(),
                settings.weights(),
                classes,
                settings.tenants(),
                kinds,
                settings.allowed(),
                settings.rules(),
                settings.prices());
    }

    private static List<String> names(Wire.Fields settings, String field) throws Wire.Malformed {
        List<String> names = new ArrayList<>();
        for (Object name : settings.list(field)) {
            names.add(String.valueOf(name));
        }
        return names;
    }
}
