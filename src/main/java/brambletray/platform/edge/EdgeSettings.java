package brambletray.platform.edge;

import brambletray.platform.admission.AdmissionParameters;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import java.util.ArrayList;
import java.util.List;

/** Values that an edge derives from the settings of its machine. */
final class EdgeSettings {
    private static final int MS_PER_S = 1_000;

    private EdgeSettings() {}

    static AdmissionParameters admissionParameters(NodeSettings nodeSettings) {
        return AdmissionParameters.of(
                nodeSettings.bounds().retryBudgetRatio(),
                (int) nodeSettings.bounds().retryBudgetSlack(),
                (int) (nodeSettings.bounds().retryWindowS() * MS_PER_S),
                Math.max(1, nodeSettings.zones().size()));
    }

    /** The addresses on which control plane members accept links from edges. */
    static List<Address> coreMembers(NodeSettings nodeSettings) {
        List<Address> members = new ArrayList<>();
        for (Address seed : nodeSettings.seeds()) {
            members.add(new Address(seed.host(), nodeSettings.internalPortLow()));
        }
        return members;
    }

    /** The window in which the requests of a tenant are counted. */
    static long quotaWindowMs(NodeSettings nodeSettings) {
        return (long) (nodeSettings.bounds().quotaWindowS() * MS_PER_S);
    }

    /** The time within which an operation runs at most once. */
    static int keyWindowMs(NodeSettings nodeSettings) {
        return (int) (nodeSettings.bounds().keyWindowS() * MS_PER_S);
    }

    /** Maximum number of bytes of requests and answers that are buffered at a time. */
    static long maxBufferedBytes(NodeSettings nodeSettings) {
        return Math.min(48L << 20, (long) nodeSettings.limits().memoryMb() << 17);
    }
}
