package brambletray.relay.inventory;

import java.io.IOException;
import java.nio.file.ClosedWatchServiceException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchEvent;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The system's word that something happened in the folders of a file: in the one that names it, and in the
 * one that it stands in behind links. A hint to look at once, never more: events do not come over network
 * file systems, and are lost when a queue overflows or a folder is replaced, so that the file is looked at by
 * turns all the same. A daemon thread of its own waits for them.
 */
final class FolderEvents implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FolderEvents.class);
    private final WatchService watcher;
    private final Runnable whenTouched;
    private final Map<Path, WatchKey> folders = new HashMap<>();
    /** Of the file, and of what a link leads to; other files of these folders are nothing to us. */
    private volatile Set<Object> names = Set.of();

    private FolderEvents(WatchService watcher, Runnable whenTouched) {
        this.watcher = watcher;
        this.whenTouched = whenTouched;
    }

    /** Null where the system has no such events; {@code whenTouched}: called on the thread of the events. */
    static FolderEvents of(Path file, Runnable whenTouched) {
        try {
            FolderEvents events = new FolderEvents(file.getFileSystem().newWatchService(), whenTouched);
            Thread thread = new Thread(events::run, "inventory-events");
            thread.setDaemon(true);
            thread.start();
            return events;
        } catch (IOException | UnsupportedOperationException e) {
            LOG.info("no events of the file system ({}): {} is looked at by turns alone", e, file);
            return null;
        }
    }

    /**
     * On the loop. Looks after the folders of a file: one that was replaced, or that a link leads to now, is
     * watched.
     */
    void renew(Path file) {
        Set<Path> wanted = new HashSet<>();
        Set<Object> ours = new HashSet<>();
        wanted.add(file.toAbsolutePath().getParent());
        ours.add(file.getFileName());
        try {
            Path real = file.toRealPath();
            wanted.add(real.getParent());
            ours.add(real.getFileName());
        } catch (IOException e) {
            // It is not there: the folder that is to name it is watched.
        }
        names = ours;
        folders.entrySet().removeIf(e -> {
            boolean over = !wanted.contains(e.getKey()) || !e.getValue().isValid();
            if (over) {
                e.getValue().cancel();
            }
            return over;
        });
        for (Path folder : wanted) {
            if (!folders.containsKey(folder) && Files.isDirectory(folder)) {
                try {
                    folders.put(
                            folder,
                            folder.register(
                                    watcher,
                                    StandardWatchEventKinds.ENTRY_CREATE,
                                    StandardWatchEventKinds.ENTRY_MODIFY,
                                    StandardWatchEventKinds.ENTRY_DELETE));
                } catch (IOException | ClosedWatchServiceException e) {
                    // Looked at by turns until it can be watched.
                }
            }
        }
    }

    private void run() {
        try {
            while (true) {
                WatchKey key = watcher.take();
                boolean any = false;
                for (WatchEvent<?> event : key.pollEvents()) {
                    any |= event.context() == null || names.contains(event.context());
                }
                // A folder that is gone gives an invalid key: renew() takes it up again.
                any |= !key.reset();
                if (any) {
                    whenTouched.run();
                }
            }
        } catch (InterruptedException | ClosedWatchServiceException e) {
            // Closed.
        }
    }

    @Override
    public void close() {
        try {
            watcher.close();
        } catch (IOException e) {
            LOG.debug("not closed", e);
        }
    }
}
