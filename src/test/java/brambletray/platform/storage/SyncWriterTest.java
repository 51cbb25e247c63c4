package brambletray.platform.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SyncWriterTest {
    private final Semaphore diskPermits = new Semaphore(0);
    private final CountDownLatch writing = new CountDownLatch(1);
    private final List<List<KeyChange>> written = new ArrayList<>();
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final List<String> results = new ArrayList<>();
    private StorageException error;
    private final SyncWriter syncWriter = new SyncWriter(
            changes -> {
                writing.countDown();
                diskPermits.acquireUninterruptibly();
                written.add(changes);
                if (error != null) {
                    throw error;
                }
            },
            loop::add);

    @AfterEach
    void drainWriter() {
        diskPermits.release(1_000);
        assertTrue(syncWriter.drain(10_000));
    }

    private DurableStore.CommitCallback callback(String name) {
        return new DurableStore.CommitCallback() {
            @Override
            public void onCommitted() {
                results.add(name + " done");
            }

            @Override
            public void onFailed(StorageException why) {
                results.add(name + ' ' + why.code());
            }
        };
    }

    private void runNextLoopTask() throws InterruptedException {
        loop.poll(10, TimeUnit.SECONDS).run();
    }

    @Test
    void mergesCommitsThatWaitedForAHungDisk() throws Exception {
        assertTrue(syncWriter.commit(List.of(new KeyChange("a", new byte[1])), 100, callback("first")));
        writing.await();
        assertTrue(syncWriter.commit(
                List.of(new KeyChange("a", new byte[2]), new KeyChange("b", null)), 200, callback("second")));
        assertTrue(syncWriter.commit(List.of(new KeyChange("a", new byte[3])), 300, callback("third")));
        assertEquals(400, syncWriter.oldestWaitMs(500));
        assertEquals(3, syncWriter.pending());
        diskPermits.release(2);
        runNextLoopTask();
        runNextLoopTask();
        assertEquals(List.of("first done", "second done", "third done"), results);
        assertEquals(2, written.size());
        assertEquals(2, written.get(1).size());
        assertTrue(written.get(1).stream().anyMatch(c -> c.key().equals("a") && c.value().length == 3));
        assertEquals(0, syncWriter.oldestWaitMs(900));
    }

    @Test
    void reportsAFailureAndContinuesWithTheNextCommit() throws Exception {
        error = new StorageException("storage.full", "disk full", null);
        syncWriter.commit(List.of(new KeyChange("a", new byte[1])), 0, callback("first"));
        diskPermits.release();
        runNextLoopTask();
        error = null;
        syncWriter.commit(List.of(new KeyChange("a", new byte[1])), 0, callback("second"));
        diskPermits.release();
        runNextLoopTask();
        assertEquals(List.of("first storage.full", "second done"), results);
    }

    @Test
    void rejectsCommitsBeyondTheByteLimit() throws Exception {
        syncWriter.commit(List.of(new KeyChange("a", new byte[1])), 0, callback("first"));
        writing.await();
        byte[] large = new byte[(int) (SyncWriter.MAX_PENDING_BYTES / 2 + 1)];
        assertTrue(syncWriter.commit(List.of(new KeyChange("b", large)), 0, callback("second")));
        assertFalse(syncWriter.commit(List.of(new KeyChange("c", large)), 0, callback("third")));
    }
}
