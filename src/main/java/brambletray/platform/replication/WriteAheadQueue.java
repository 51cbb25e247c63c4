package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes on their way to the disk: gathered into one batch while the one before is being synced, kept in order, tried
 * again after a failure. What is to be said once they are synced waits here.
 */
final class WriteAheadQueue {
    private static final int RETRY_MS = 250;

    private final ReplicationActions out;
    private Map<String, byte[]> open = new LinkedHashMap<>();
    private List<Runnable> then = new ArrayList<>();
    private long openSince = -1;
    private Map<String, byte[]> flying;
    private List<Runnable> flyingThen;
    private long flyingSince;
    private long ticket;
    private boolean failed;
    private long retryAt;
    private long size;
    private long flyingSize;

    WriteAheadQueue(ReplicationActions out) {
        this.out = out;
    }

    /** Changes to keep with the next batch; a null value removes. */
    void put(String key, byte[] value, long now) {
        if (openSince < 0) {
            openSince = now;
        }
        open.put(key, value);
        if (value != null) {
            size += value.length;
        }
    }

    void put(Map<String, byte[]> changes, long now) {
        changes.forEach((key, value) -> put(key, value, now));
    }

    /** Runs once all that was put so far is synced. */
    void then(Runnable run) {
        then.add(run);
    }

    /** Hands over the next batch if none is out. */
    void flush(long now) {
        if (flying != null || (failed && now < retryAt)) {
            return;
        }
        while (open.isEmpty()) {
            List<Runnable> runs = then;
            if (runs.isEmpty()) {
                return;
            }
            then = new ArrayList<>();
            runs.forEach(Runnable::run);
        }
        flying = open;
        flyingThen = then;
        flyingSince = openSince;
        open = new LinkedHashMap<>();
        then = new ArrayList<>();
        openSince = -1;
        flyingSize = size;
        size = 0;
        out.persist(++ticket, flying);
    }

    void synced(long which) {
        if (flying == null || which != ticket) {
            return;
        }
        List<Runnable> runs = flyingThen;
        flying = null;
        flyingThen = null;
        failed = false;
        runs.forEach(Runnable::run);
    }

    /** The batch goes in front of what came after it, and is tried again after a pause. */
    void failed(long which, long now) {
        if (flying == null || which != ticket) {
            return;
        }
        flying.putAll(open);
        flyingThen.addAll(then);
        open = flying;
        then = flyingThen;
        openSince = flyingSince;
        size += flyingSize;
        flying = null;
        flyingThen = null;
        failed = true;
        retryAt = now + RETRY_MS;
    }

    /** Whether the last try failed. */
    boolean failing() {
        return failed;
    }

    /** Milliseconds that the oldest write has been waiting; 0 when none is. */
    long age(long now) {
        if (flying != null) {
            return now - flyingSince;
        }
        return openSince < 0 ? 0 : now - openSince;
    }

    /** Whether more than this many bytes wait for the batch that is out. */
    boolean crowded(long most) {
        return size > most;
    }
}
