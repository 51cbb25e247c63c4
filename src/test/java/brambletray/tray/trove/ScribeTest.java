package brambletray.tray.trove;

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

class ScribeTest {
    private final Semaphore disk = new Semaphore(0);
    private final CountDownLatch writing = new CountDownLatch(1);
    private final List<List<Change>> written = new ArrayList<>();
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final List<String> heard = new ArrayList<>();
    private TroveFault fault;
    private final Scribe scribe = new Scribe(
            changes -> {
                writing.countDown();
                disk.acquireUninterruptibly();
                written.add(changes);
                if (fault != null) {
                    throw fault;
                }
            },
            loop::add);

    @AfterEach
    void end() {
        disk.release(1_000);
        assertTrue(scribe.drain(10_000));
    }

    private DurableStore.Reply reply(String name) {
        return new DurableStore.Reply() {
            @Override
            public void done() {
                heard.add(name + " done");
            }

            @Override
            public void failed(TroveFault why) {
                heard.add(name + ' ' + why.code());
            }
        };
    }

    private void turn() throws InterruptedException {
        loop.poll(10, TimeUnit.SECONDS).run();
    }

    @Test
    void whatWaitsForAHungDiskIsOneCommitAfterwards() throws Exception {
        assertTrue(scribe.commit(List.of(new Change("a", new byte[1])), 100, reply("first")));
        writing.await();
        assertTrue(scribe.commit(List.of(new Change("a", new byte[2]), new Change("b", null)), 200, reply("second")));
        assertTrue(scribe.commit(List.of(new Change("a", new byte[3])), 300, reply("third")));
        assertEquals(400, scribe.oldestWaitMs(500));
        assertEquals(3, scribe.pending());
        disk.release(2);
        turn();
        turn();
        assertEquals(List.of("first done", "second done", "third done"), heard);
        assertEquals(2, written.size());
        assertEquals(2, written.get(1).size());
        assertTrue(written.get(1).stream().anyMatch(c -> c.key().equals("a") && c.value().length == 3));
        assertEquals(0, scribe.oldestWaitMs(900));
    }

    @Test
    void aFailureIsToldAndTheNextGoesOn() throws Exception {
        fault = new TroveFault("trove.full", "no room", null);
        scribe.commit(List.of(new Change("a", new byte[1])), 0, reply("first"));
        disk.release();
        turn();
        fault = null;
        scribe.commit(List.of(new Change("a", new byte[1])), 0, reply("second"));
        disk.release();
        turn();
        assertEquals(List.of("first trove.full", "second done"), heard);
    }

    @Test
    void takesNoMoreThanItHasRoomFor() throws Exception {
        scribe.commit(List.of(new Change("a", new byte[1])), 0, reply("first"));
        writing.await();
        byte[] large = new byte[(int) (Scribe.MOST_BYTES / 2 + 1)];
        assertTrue(scribe.commit(List.of(new Change("b", large)), 0, reply("second")));
        assertFalse(scribe.commit(List.of(new Change("c", large)), 0, reply("third")));
    }
}
