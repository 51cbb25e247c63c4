package brambletray.relay.store;

import java.util.ArrayList;
import java.util.List;

/** All live records of one key: the one that began it and those behind it, in order. */
public final class Chain {
    /** Where a value stands. */
    record Place(Segment segment, long at, int length) {}

    final byte space;
    final long key;
    final List<Place> places = new ArrayList<>(2);
    /** Bytes that its records take up, heads included. */
    long bytes;
    /** Bytes kept free for records that may still come. */
    long reserved;

    boolean doubtful;
    boolean dead;

    Chain(byte space, long key) {
        this.space = space;
        this.key = key;
    }

    public long key() {
        return key;
    }

    /** Values in it. */
    public int size() {
        return places.size();
    }

    /** Damage may have hidden records of it, or its end. */
    public boolean doubtful() {
        return doubtful;
    }
}
