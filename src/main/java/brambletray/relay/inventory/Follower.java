package brambletray.relay.inventory;

import brambletray.common.runtime.Machine;
import brambletray.common.yaml.Faults;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a file: looks at it by turns, reads it off the event loop once it has stood still for a while, and
 * hands what could be read over. Whatever is wrong with a file, the former one goes on.
 */
public final class Follower {
    private static final Logger LOG = LoggerFactory.getLogger(Follower.class);

    /** What tells one state of a file from another; by name, so that a link that is swapped is seen. */
    private record Look(Object key, long size, long modified, Path real) {}

    private final Machine machine;
    private final Path file;
    private final long pollMs;
    private final long settleMs;
    private final Consumer<Inventory.Parsed> whenRead;
    private final Executor reader;
    private final boolean events;
    private FolderEvents folders;
    private Look last;
    private Look taken;
    private long changedAt;
    private boolean reading;
    private boolean closed;
    private boolean touched;
    private boolean touchedAgain;
    private Future<?> timer;
    private Future<?> settled;
    private String complaint;

    /**
     * {@code settleMs}: so long a file must not have changed before it is read; {@code reader}: reads it, off
     * the loop, one file at a time, and tells {@code whenRead} there.
     */
    public Follower(
            Machine machine,
            Path file,
            long pollMs,
            long settleMs,
            Executor reader,
            Consumer<Inventory.Parsed> whenRead) {
        this(machine, file, pollMs, settleMs, false, reader, whenRead);
    }

    /** {@code events}: look at once when the file system tells of a change, too. */
    public Follower(
            Machine machine,
            Path file,
            long pollMs,
            long settleMs,
            boolean events,
            Executor reader,
            Consumer<Inventory.Parsed> whenRead) {
        this.events = events;
        this.machine = machine;
        this.file = file;
        this.pollMs = pollMs;
        this.settleMs = settleMs;
        this.whenRead = whenRead;
        this.reader = reader;
    }

    /** {@code read}: it was read and handed over at the start already. */
    public void begin(boolean read) {
        if (read) {
            try {
                taken = look();
                last = taken;
            } catch (IOException e) {
                complain("inventory " + file + ": " + e);
            }
        }
        if (events) {
            folders = FolderEvents.of(file, () -> machine.loop().execute(this::touched));
        }
        poll();
    }

    public void close() {
        closed = true;
        for (Future<?> due : new Future<?>[] {timer, settled}) {
            if (due != null) {
                due.cancel(false);
            }
        }
        if (folders != null) {
            folders.close();
        }
    }

    /** Reads the file once more, also if it looks as it did: an operator asks for it. */
    public void readAgain() {
        touched();
    }

    /**
     * Something happened to the file, or beside it. It is read once it has stood still, also if it looks as
     * it did: an edit within the clock's grain that keeps the size can be told by that alone.
     */
    private void touched() {
        touchedAgain = touched;
        if (!closed && !touched) {
            touched = true;
            look(machine.clock().nanos());
            settled = machine.loop().schedule(this::settled, settleMs + 1, TimeUnit.MILLISECONDS);
        }
    }

    /** It has stood still since the last word of it, or is looked at once more as long after the next one. */
    private void settled() {
        touched = false;
        if (touchedAgain) {
            touched();
        } else {
            taken = null;
            look(machine.clock().nanos());
        }
    }

    private Look look() throws IOException {
        BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
        return new Look(a.fileKey(), a.size(), a.lastModifiedTime().to(TimeUnit.NANOSECONDS), file.toRealPath());
    }

    private void poll() {
        if (closed) {
            return;
        }
        look(machine.clock().nanos());
        if (folders != null) {
            folders.renew(file);
        }
        timer = machine.loop().schedule(this::poll, pollMs, TimeUnit.MILLISECONDS);
    }

    private void look(long now) {
        if (closed) {
            return;
        }
        try {
            Look seen = look();
            if (!seen.equals(last)) {
                last = seen;
                changedAt = now;
            } else if (!reading && !seen.equals(taken) && now - changedAt >= TimeUnit.MILLISECONDS.toNanos(settleMs)) {
                read(seen);
            }
        } catch (NoSuchFileException e) {
            last = null;
            complain("inventory " + file + " is not there; the hosts stay as they were");
        } catch (IOException e) {
            last = null;
            complain("inventory " + file + " can't be looked at (" + e + "); the hosts stay as they were");
        }
    }

    private void read(Look seen) {
        reading = true;
        reader.execute(() -> {
            String fault = null;
            boolean same = false;
            try {
                Inventory.Parsed parsed = Inventory.read(file);
                // A file that changed while it was read may be two files in one.
                same = look().equals(seen);
                if (same) {
                    whenRead.accept(parsed);
                }
            } catch (Faults faults) {
                fault = faults.lines().size() + " faults, the hosts stay as they were: "
                        + String.join("; ", faults.lines());
                same = true;
            } catch (IOException | RuntimeException e) {
                fault = "inventory " + file + " can't be read (" + e + "); the hosts stay as they were";
            }
            String told = fault;
            boolean over = same;
            machine.loop().execute(() -> done(seen, over, told));
        });
    }

    private void done(Look seen, boolean over, String fault) {
        reading = false;
        if (over) {
            taken = seen;
        } else if (folders != null) {
            // It changed as it was read, or could not be: the word of that may have come before.
            touched();
        }
        if (fault != null) {
            complain(fault);
        } else if (over) {
            complaint = null;
        }
    }

    /** Each complaint once, until another comes or the file is good again. */
    private void complain(String text) {
        if (!text.equals(complaint)) {
            LOG.warn("{}", text);
        }
        complaint = text;
    }
}
