package brambletray.tray.trove;

import brambletray.tray.tale.Tale;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a process keeps on its disk: keys and values, changed by commits that are wholly there or not at all. What
 * {@link #commit} has returned for is there after any kill or loss of power. One thread commits; any may read.
 *
 * <p>The files are of one generation, and grow with each commit. Once they hold much more than what is in force,
 * {@link #tidy} writes that into a new generation and removes the old one before any other commit. So where two
 * generations are found, nothing was kept in the newer one alone, and if that is torn the older one is whole.
 */
public final class Trove implements AutoCloseable, Scribe.Disk {
    /** Bytes of a key's UTF-8, and of a value. */
    public static final int LONGEST_KEY = 1_024;

    public static final int LONGEST = 8 << 20;
    static final Tale TALE = Tale.of("trove");
    /** Bytes of files that are always allowed, and how many times what is in force. */
    private static final long ROOMY = 8L << 20;

    private static final int TIMES = 4;
    /** Bytes after which a tidying that failed is tried again. */
    private static final long AGAIN = 4L << 20;

    private final Platter platter;
    private volatile Vault vault;
    private boolean hurt;
    private Tape old;
    private long tidyAt;
    private final long roomy;
    private volatile boolean closed;

    static {
        if (System.getProperty("org.slf4j.simpleLogger.log.jetbrains.exodus") == null) {
            System.setProperty("org.slf4j.simpleLogger.log.jetbrains.exodus", "off");
        }
    }

    private Trove(Platter platter, long roomy) {
        this.platter = platter;
        this.roomy = roomy;
    }

    /**
     * Opens what is in this folder, or begins it. The last commit that had not returned when the process or the power
     * went may be there or not.
     *
     * @throws TroveFault {@code trove.broken}: something is there but no whole store, as if the disk were lost (the
     * caller
     *     may {@link #abandon} it); {@code trove.format}; {@code trove.refused} and {@code trove.full}: the disk is in
     *     trouble, and a later try may do
     */
    public static Trove open(Path dir) throws TroveFault {
        try {
            return open(new Folder(dir));
        } catch (IOException e) {
            throw fault(e);
        }
    }

    static Trove open(Platter platter) throws TroveFault {
        return open(platter, ROOMY);
    }

    /** {@code roomy}: bytes of files that are always allowed. */
    static Trove open(Platter platter, long roomy) throws TroveFault {
        Trove trove = new Trove(platter, roomy);
        try {
            trove.vault = new Opening(platter).open();
        } catch (IOException | RuntimeException e) {
            throw fault(e);
        }
        return trove;
    }

    /** Removes a store that is broken, so that an empty one can be opened in its place; none may be open. */
    public static void abandon(Path dir) throws TroveFault {
        try {
            abandon(new Folder(dir));
        } catch (IOException e) {
            throw fault(e);
        }
    }

    static void abandon(Platter platter) throws TroveFault {
        try {
            for (long generation : Tape.generations(platter)) {
                new Tape(platter, generation).remove();
            }
            platter.sync();
            platter.remove(Opening.BORN);
            platter.sync();
        } catch (IOException e) {
            throw fault(e);
        }
    }

    /** The value of a key, or null. */
    public byte[] get(String key) {
        return read(() -> vault.get(key));
    }

    /** All whose keys begin so, by key. */
    public List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return read(() -> vault.prefix(prefix));
    }

    /** The number of commits this store has had; after a restart at least that of the last one that returned. */
    public long commits() {
        return vault.commits();
    }

    /**
     * Makes these changes, in this order, all or none; durable on return.
     *
     * @throws TroveFault {@code trove.full}, {@code trove.refused}: not made, unless the process ends before the next
     * call;
     *     that one may do. {@code trove.too-long}: nothing was done
     */
    @Override
    public void commit(List<Change> changes) throws TroveFault {
        for (Change change : changes) {
            if (change.key().length() > LONGEST_KEY || change.value() != null && change.value().length > LONGEST) {
                throw new TroveFault(
                        "trove.too-long",
                        "the value of "
                                + change.key()
                                        .substring(0, Math.min(64, change.key().length())) + " is too long",
                        null);
            }
        }
        try {
            heal();
            if (vault.used() >= 2 * room()) {
                tidy();
                heal();
            }
            vault.commit(changes);
        } catch (IOException | RuntimeException e) {
            hurt = true;
            throw fault(e);
        }
    }

    /**
     * If the files hold much more than what is in force: begins a new generation. To be called between commits, where a
     * pause hurts least; a commit does it itself once there is twice as much.
     */
    @Override
    public void tidy() {
        long used = vault.used();
        if (hurt || closed || used < room()) {
            return;
        }
        Tape next = new Tape(platter, vault.tape().generation() + 1);
        Vault fresh = null;
        try {
            fresh = Vault.make(next);
            vault.copyTo(fresh);
            platter.sync();
        } catch (IOException | RuntimeException e) {
            TALE.warn("not-tidied", "bytes", used, "live", vault.live(), "why", e);
            tidyAt = used + AGAIN;
            old = next;
            if (fresh != null) {
                fresh.close();
            }
            tryRemoveOld();
            return;
        }
        Vault before = vault;
        vault = fresh;
        tidyAt = 0;
        before.close();
        old = before.tape();
        tryRemoveOld();
        TALE.debug("tidied", "generation", next.generation(), "bytes", used, "live", fresh.live());
    }

    /** Bytes of the store's files. */
    public long used() {
        return vault.used();
    }

    @Override
    public void close() {
        closed = true;
        if (vault != null) {
            vault.close();
        }
    }

    /**
     * After a failure: what was left of it is cut off, and the store opened again where the last commit that returned
     * ends.
     */
    private void heal() throws IOException {
        if (closed) {
            throw new TroveFault("trove.closed", "the store is closed", null);
        }
        if (old != null) {
            removeOld();
        }
        if (hurt) {
            Tape tape = new Tape(platter, vault.tape().generation());
            vault.close();
            new Mend(tape).cut(vault.end());
            Vault healed = Vault.read(tape);
            if (healed == null || healed.commits() != vault.commits()) {
                throw new TroveFault("trove.refused", "the store does not read as it was written", null);
            }
            vault = healed;
            hurt = false;
            TALE.tell("healed", "generation", tape.generation(), "commits", healed.commits());
        }
    }

    /** Bytes that the files may have before a tidying. */
    private long room() {
        return Math.max(tidyAt, Math.max(roomy, TIMES * vault.live()));
    }

    private void tryRemoveOld() {
        try {
            removeOld();
        } catch (IOException e) {
            TALE.warn("not-removed", "generation", old.generation(), "why", e);
        }
    }

    private void removeOld() throws IOException {
        old.remove();
        platter.sync();
        old = null;
    }

    private interface Reading<T> {
        T run();
    }

    private <T> T read(Reading<T> reading) {
        try {
            return reading.run();
        } catch (RuntimeException e) {
            throw fault(e);
        }
    }

    private static TroveFault fault(Exception thrown) {
        if (thrown instanceof TroveFault fault) {
            return fault;
        }
        UncheckedIOException io = Vault.ioIn(thrown);
        String why = io == null ? thrown.toString() : io.getCause().getMessage();
        boolean full = why != null && (why.contains("No space left") || why.contains("quota"));
        return new TroveFault(
                full ? "trove.full" : "trove.refused",
                full ? "the disk is full: " + why : "the disk refuses: " + why,
                thrown);
    }
}
