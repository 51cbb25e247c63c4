package brambletray.platform.distribution;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationException;
import org.junit.jupiter.api.Test;

/** Whether an edge knows that its configuration is the newest. */
class ConfigurationSubscriberTest {
    private static final long TERM = 5;

    private final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(new NoOpActions());

    private static final class NoOpActions implements ConfigurationSubscriber.Actions {
        @Override
        public void sendRequest(DeltaRequest request) {}

        @Override
        public void onConfiguration(Configuration configuration, int bytes, long durationMs) {}

        @Override
        public void onRejected(ConfigurationException error) {
            throw error;
        }
    }

    /** Delivers the first revision, in one chunk. */
    private void receiveFirstRevision() {
        ChangeHistory history = new ChangeHistory();
        history.advanceTo(SimulatedEdges.withRoutes(1, 3));
        byte[] bytes = history.fullDelta().toCompressedBytes();
        subscriber.onChunk(new DeltaChunk(TERM, 1, 1, bytes.length, 0, bytes), 0);
    }

    @Test
    void nothingIsNewestBeforeTheFirstAnnouncement() {
        assertFalse(subscriber.isNewest());
    }

    @Test
    void anAnnouncedRevisionIsNewestOnceReceived() {
        subscriber.onNewestRevision(1, 0);
        assertFalse(subscriber.isNewest());
        receiveFirstRevision();
        assertTrue(subscriber.isNewest());
        subscriber.onNewestRevision(2, 0);
        assertFalse(subscriber.isNewest());
    }

    @Test
    void nothingIsNewestWhileTheCoordinatorKnowsNoRevision() {
        subscriber.onNewestRevision(1, 0);
        receiveFirstRevision();
        subscriber.onNewestRevision(0, 0);
        assertFalse(subscriber.isNewest());
    }
}
