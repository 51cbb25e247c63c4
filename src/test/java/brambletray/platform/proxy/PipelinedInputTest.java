package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.ClientLimits;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is read ahead of its turn is bounded by connection and by the memory of all, and none of it leaks. */
class PipelinedInputTest {
    private static final ClientLimits LIMITS = new ClientLimits(2_048, 10_000, 3_000, 15_000);

    private static final int BODY_BYTES = 7_680;
    private static final int PART_BYTES = BODY_BYTES + PipelinedInput.PART_OVERHEAD_BYTES;

    private final MemoryBudget memoryBudget = new MemoryBudget(1 << 20);
    private final PipelinedInput input = new PipelinedInput(memoryBudget);

    private static HttpContent body() {
        return new DefaultHttpContent(Unpooled.buffer(BODY_BYTES).writeZero(BODY_BYTES));
    }

    @Test
    void itIsFullFromItsLimitOnUntilAPartIsTaken() {
        int parts = PipelinedInput.MAX_BYTES / PART_BYTES;
        for (int i = 1; i < parts; i++) {
            input.add(body(), i, LIMITS);
        }
        assertFalse(input.isFull());
        input.add(body(), parts, LIMITS);
        assertTrue(input.isFull());
        assertEquals(PipelinedInput.MAX_BYTES, memoryBudget.heldBytes());
        assertEquals(1, input.poll().readAtMs());
        assertFalse(input.isFull());
    }

    @Test
    void itIsFullWhileTheMemoryOfAllConnectionsIs() {
        int others = (1 << 20) - PART_BYTES;
        assertTrue(memoryBudget.tryReserve(others));
        input.add(body(), 1, LIMITS);
        assertFalse(input.isFull());
        input.add(body(), 2, LIMITS);
        assertTrue(input.isFull());
        input.poll();
        assertTrue(input.isFull());
        input.poll();
        assertFalse(input.isFull());
        assertEquals(others, memoryBudget.heldBytes());
    }

    @Test
    void partsComeInTheOrderInWhichTheyWereRead() {
        List<Long> times = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            input.add(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"), i, LIMITS);
        }
        for (PipelinedInput.Part next = input.poll(); next != null; next = input.poll()) {
            times.add(next.readAtMs());
        }
        assertEquals(List.of(1L, 2L, 3L), times);
        assertNull(input.poll());
    }

    @Test
    void droppedPartsAreReleased() {
        List<HttpContent> bodies = List.of(body(), body());
        bodies.forEach(body -> input.add(body, 1, LIMITS));
        input.release();
        assertTrue(input.isEmpty() && !input.isFull());
        assertEquals(0, memoryBudget.heldBytes());
        bodies.forEach(body -> assertEquals(0, body.refCnt()));
    }
}
