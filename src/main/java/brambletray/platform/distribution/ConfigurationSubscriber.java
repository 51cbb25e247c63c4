package brambletray.platform.distribution;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationDelta;
import brambletray.platform.configuration.ConfigurationException;

/**
 * An edge's side of how configurations reach it: it fetches what it lacks, chunk after chunk, at the pace of its link.
 * What has come of a transfer is kept when the helm changes or the link ends, and the transfer goes on from there. It
 * never goes back. Pure; times are ms of a steady clock.
 */
public final class ConfigurationSubscriber {
    /**
     * Chunks that are asked for ahead, so that a link is never idle; more would only stand in front of heartbeats and
     * requests.
     */
    static final int AHEAD = 2;
    /**
     * ms without a chunk after which it is asked for again, doubled each time until one comes. A link that ends is
     * asked anew at once; this is for a helm that kept silent as its lease was in doubt. What is asked twice comes
     * twice, on a link that may be full already.
     */
    static final int AGAIN = 500;

    static final int LONGEST = 4_000;

    /** What comes out. */
    public interface Out {
        /** To the helm; lost where there is none. */
        void fetch(DeltaRequest fetch);

        /**
         * Another configuration is in force here; {@code bytes} on the wire, in {@code ms} from the first question on.
         */
        void took(Configuration configuration, int bytes, long ms);

        /** What had come doesn't lead to what the helm has. */
        void refused(ConfigurationException fault);
    }

    private final Out out;
    private Configuration configuration = Configuration.NONE;
    private long newest;
    private boolean whole;
    private boolean asking;
    private long askedAt;
    private int patience = AGAIN;
    private long began;
    /** What came last was no good: nothing is asked before. */
    private long notBefore = Long.MIN_VALUE;

    /** The transfer under way; 0: none has begun. */
    private long body;

    private long revision;
    private byte[] bytes;
    private int got;
    /** Up to which offset chunks have been asked for. */
    private int asked;

    public ConfigurationSubscriber(Out out) {
        this.out = out;
    }

    public Configuration configuration() {
        return configuration;
    }

    /** The helm says which revision is the newest. */
    public void newest(long next, long now) {
        newest = next;
        if (!asking && newest > configuration.revision() && now >= notBefore) {
            began = now;
            ask(now);
        }
    }

    /** A link to a helm is there: what was asked on the one before is lost. */
    public void attached(long now) {
        patience = AGAIN;
        if (asking) {
            ask(now);
        }
    }

    /** To be called now and then. */
    public void tick(long now) {
        if (asking && now - askedAt >= patience) {
            patience = Math.min(LONGEST, 2 * patience);
            ask(now);
        }
    }

    private void ask(long now) {
        asking = true;
        askedAt = now;
        asked = got + DeltaChunk.BYTES;
        out.fetch(new DeltaRequest(configuration.revision(), body, got, whole));
    }

    /** Some bytes have come. */
    public void heard(DeltaChunk chunk, long now) {
        if (chunk.revision() <= configuration.revision()
                || chunk.size() <= 0
                || chunk.size() > DeltaChunk.MOST
                || chunk.offset() < 0
                || chunk.bytes().length == 0
                || chunk.bytes().length > chunk.size() - chunk.offset()) {
            return;
        }
        if (chunk.body() != body) {
            if (chunk.offset() != 0) {
                return;
            }
            // The helm has that transfer no longer, or begins one.
            body = chunk.body();
            revision = chunk.revision();
            bytes = new byte[chunk.size()];
            got = 0;
            asked = DeltaChunk.BYTES;
        }
        if (chunk.size() != bytes.length || chunk.offset() != got) {
            return;
        }
        System.arraycopy(chunk.bytes(), 0, bytes, got, chunk.bytes().length);
        got += chunk.bytes().length;
        asking = true;
        askedAt = now;
        patience = AGAIN;
        if (got == bytes.length) {
            complete(now);
        } else {
            while (asked < bytes.length && asked < got + AHEAD * DeltaChunk.BYTES) {
                out.fetch(new DeltaRequest(configuration.revision(), body, asked, whole));
                asked += DeltaChunk.BYTES;
            }
        }
    }

    private void complete(long now) {
        byte[] all = bytes;
        body = 0;
        bytes = null;
        got = 0;
        asking = false;
        Configuration next;
        try {
            next = configuration.apply(ConfigurationDelta.unpack(all));
        } catch (ConfigurationException fault) {
            // Where even the whole was no good the next question waits, so that it is not fetched in circles.
            notBefore = whole ? now + 2 * AGAIN : now;
            whole = true;
            out.refused(fault);
            newest(newest, now);
            return;
        }
        whole = false;
        configuration = next;
        out.took(configuration, all.length, now - began);
        began = now;
        if (newest > configuration.revision()) {
            ask(now);
        } else {
            out.fetch(new DeltaRequest(configuration.revision(), 0, 0, false));
        }
    }
}
