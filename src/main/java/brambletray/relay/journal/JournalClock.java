package brambletray.relay.journal;

import brambletray.common.runtime.Clock;
import brambletray.common.time.BootTimestamp;
import brambletray.relay.store.Chain;
import brambletray.relay.store.Store;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the times in a folder on one scale: deadlines, first sends, windows, how long answers are kept. All
 * of them are Unix times of the life that noted them. Where the machine has run on since and only its wall
 * clock was stepped, the next life's clock goes on by the scale of the last; after a start of the machine it
 * goes by the wall clock. One record (name space {@link #SPACE}: run, ticks, wall; 8 each) a life.
 */
public final class JournalClock {
    /** Name space of the store that is theirs. */
    public static final byte SPACE = 11;

    private static final Logger LOG = LoggerFactory.getLogger(JournalClock.class);
    private static final int BYTES = 24;

    private JournalClock() {}

    /** Before anything of the folder is believed. What it notes is staged, and goes with the first batch. */
    public static void goOn(Store store, Clock clock) {
        for (Chain chain : store.chains(SPACE)) {
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(store.read(chain, 0)));
                BootTimestamp then = new BootTimestamp(in.readLong(), in.readLong(), in.readLong());
                long step = clock.moment().stepSinceMs(then);
                if (step != 0) {
                    LOG.warn(
                            "the wall clock was set {} by {} ms since the folder was made: times of what"
                                    + " is owed go on as if it had not been",
                            step > 0 ? "forward" : "back",
                            Math.abs(step));
                    clock.shift(-step);
                }
            } catch (IOException e) {
                LOG.warn("the folder's time can't be read, it goes by the wall clock: {}", e.toString());
            }
        }
        BootTimestamp now = clock.moment();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(now.bootId());
            out.writeLong(now.steadyMs());
            out.writeLong(now.wallMs());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
        if (store.fits(Store.cost(BYTES))) {
            store.put(SPACE, 0, bytes.toByteArray());
        }
    }
}
