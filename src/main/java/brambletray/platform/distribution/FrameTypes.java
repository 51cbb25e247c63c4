package brambletray.platform.distribution;

import brambletray.platform.admission.AdmissionMessages;
import brambletray.platform.election.LeaseElection;
import brambletray.platform.failuredetection.WatchRing;
import brambletray.platform.provisioning.Provisioner;
import brambletray.platform.replication.Replica;
import java.util.List;

/** All that processes of the system say to one another, in the order in which Kryo registers it. */
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
            Provisioner.MESSAGES,
            Replica.MESSAGES,
            LeaseElection.MESSAGES);

    private FrameTypes() {}
}
