package brambletray.platform.distribution;

import brambletray.platform.admission.AdmissionMessages;
import brambletray.platform.election.ElectionMessage;
import brambletray.platform.failuredetection.WatchRing;
import brambletray.platform.operations.OperationMessages;
import brambletray.platform.provisioning.Provisioner;
import brambletray.platform.quota.QuotaMessages;
import brambletray.platform.replication.ReplicationMessage;
import java.util.List;

/** All message types exchanged between processes of the system, in Kryo registration order. */
public final class FrameTypes {
    private static final List<Class<?>> DISTRIBUTION = List.of(
            LinkIntroduction.class,
            CoordinatorHeartbeat.class,
            DeltaRequest.class,
            DeltaChunk.class,
            RosterRequest.class);

    public static final List<List<Class<?>>> ALL = List.of(
            DISTRIBUTION,
            WatchRing.MESSAGES,
            AdmissionMessages.ALL,
            QuotaMessages.ALL,
            OperationMessages.ALL,
            Provisioner.MESSAGES,
            ReplicationMessage.TYPES,
            ElectionMessage.TYPES);

    private FrameTypes() {}
}
