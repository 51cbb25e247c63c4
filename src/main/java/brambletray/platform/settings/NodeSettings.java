package brambletray.platform.settings;

import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of one process (page DEPLOY, What a process is told). Fields that aren't known are passed over.
 *
 * @param node its name
 * @param role what the deploy file calls its program's role
 * @param hardware class of its machine
 * @param serves who may call it from outside
 * @param ip the machine's address
 * @param zones each zone's region
 * @param frontEnd where clients arrive; null: nowhere
 * @param readiness where the platform asks; null: nowhere
 * @param controlPlane where hosts and operators call; null: nowhere
 * @param internalPortLow first port for traffic between relays; 0: none is given
 * @param internalPortHigh last of them
 * @param seeds control addresses of a few machines
 * @param initialStart the very first start of the whole system
 * @param lossCounted whether this machine's loss counts towards what is borne
 * @param dataDir null: no disk
 * @param heartbeatIntervalMs pace of sounds of life between relays
 * @param machineLosses how many counted machines may be lost at once
 * @param zoneLosses how many zones
 * @param regionLosses how many regions
 * @param contracts parts of the rules that are in force
 * @param file where all this stands
 */
public record NodeSettings(
        String node,
        String role,
        String hardware,
        Set<String> serves,
        String ip,
        String zone,
        String region,
        Map<String, String> zones,
        Address frontEnd,
        Address readiness,
        Address controlPlane,
        int internalPortLow,
        int internalPortHigh,
        List<Address> seeds,
        boolean initialStart,
        boolean lossCounted,
        ResourceLimits limits,
        Path dataDir,
        int heartbeatIntervalMs,
        int machineLosses,
        int zoneLosses,
        int regionLosses,
        Set<String> contracts,
        DeploymentBounds bounds,
        CloudApiSettings cloudApi,
        Path file) {
    /** The variable that holds the file's path. */
    public static final String FILE_VARIABLE = "BRAMBLETRAY_NODE_FILE";

    private static final String DEFAULT_FILE = "/etc/brambletray/node.conf";

    /** From the file that the environment names, or the usual one; {@link SettingsException}. */
    public static NodeSettings fromEnvironment() {
        String path = System.getenv(FILE_VARIABLE);
        return read(Path.of(path == null || path.isBlank() ? DEFAULT_FILE : path));
    }

    /** Reads this file. @throws SettingsException with one line if a field is missing or invalid */
    public static NodeSettings read(Path path) {
        return from(SettingsFields.read(path), path);
    }

    static NodeSettings from(SettingsFields in, Path path) {
        int[] inner = in.ports("internal-port-range");
        return new NodeSettings(
                in.require("node-name"),
                in.text("role", ""),
                in.text("hardware-class", ""),
                Collections.unmodifiableSet(in.set("served-roles")),
                in.ip("ip-address"),
                in.require("zone"),
                in.text("region", ""),
                Collections.unmodifiableMap(in.valuesBelow("zones")),
                in.address("bind-addresses.front-end"),
                in.address("bind-addresses.readiness"),
                in.address("bind-addresses.control-plane"),
                inner[0],
                inner[1],
                in.addresses("seed-peers"),
                in.flag("initial-start", false),
                in.flag("loss-counted", false),
                ResourceLimits.from(in),
                in.path("data-dir"),
                in.positiveInt("keepalive-ms", 1_000),
                in.nonNegativeInt("fault-tolerance.machine-losses", 1),
                in.nonNegativeInt("fault-tolerance.zones", 0),
                in.nonNegativeInt("fault-tolerance.region-losses", 0),
                Collections.unmodifiableSet(in.set("active-contracts")),
                DeploymentBounds.from(in),
                CloudApiSettings.from(in),
                path);
    }

    /**
     * A value that this program can't do without; {@link SettingsException} where the file has none under that field.
     */
    public <T> T require(String field, T value) {
        if (value == null) {
            throw new SettingsException(
                    "settings.missing", file + ": " + field + ": expected in the file, is missing", null);
        }
        return value;
    }

    /**
     * The same file as it stands now, for SIGHUP; what can't be used now is a {@link SettingsException}, and this one
     * goes on.
     */
    public NodeSettings reread() {
        return read(file);
    }
}
