package brambletray.platform.proxy;

import brambletray.platform.configuration.ClientLimits;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * Parts of later requests that one client sent while an earlier request is in progress. Reading goes on meanwhile, as
 * some transports report a closed connection only to a reader; it pauses once {@link #isFull}. Confined to the loop.
 */
final class PipelinedInput {
    /** Bytes, {@link #PART_OVERHEAD_BYTES} included, from which reading pauses. */
    static final int MAX_BYTES = 64 * 1024;
    /** Bytes that one part is counted with beside its text. */
    static final int PART_OVERHEAD_BYTES = 512;

    /**
     * Part of a request.
     *
     * @param readAtMs when it was read, ms of the monotonic clock
     * @param limits those in force when its request began to arrive
     * @param bytes its size in memory, about
     * @param isReserved whether the memory budget accounts for it
     */
    record Part(Object part, long readAtMs, ClientLimits limits, int bytes, boolean isReserved) {}

    private final MemoryBudget memoryBudget;
    private final ArrayDeque<Part> parts = new ArrayDeque<>(0);
    private int bytes;
    private int unreservedParts;

    PipelinedInput(MemoryBudget memoryBudget) {
        this.memoryBudget = memoryBudget;
    }

    /** Takes ownership of the part. */
    void add(Object part, long readAtMs, ClientLimits limits) {
        int size = size(part);
        boolean isReserved = memoryBudget.tryReserve(size);
        parts.add(new Part(part, readAtMs, limits, size, isReserved));
        bytes += size;
        unreservedParts += isReserved ? 0 : 1;
    }

    private static int size(Object part) {
        int size = PART_OVERHEAD_BYTES;
        if (part instanceof HttpRequest head) {
            size += head.uri().length();
            for (Map.Entry<String, String> header : head.headers()) {
                size += header.getKey().length() + header.getValue().length();
            }
        }
        if (part instanceof HttpContent content) {
            size += content.content().readableBytes();
        }
        return size;
    }

    /** Removes the oldest part, which the caller owns from now on; null if there is none. */
    Part poll() {
        Part next = parts.poll();
        if (next != null) {
            bytes -= next.bytes;
            unreservedParts -= next.isReserved ? 0 : 1;
            memoryBudget.release(next.isReserved ? next.bytes : 0);
        }
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether no more should be read: the limit of this connection, or of the memory of all, is reached. */
    boolean isFull() {
        return bytes >= MAX_BYTES || unreservedParts > 0;
    }

    /** Drops all parts. */
    void release() {
        for (Part next = poll(); next != null; next = poll()) {
            ReferenceCountUtil.release(next.part);
        }
    }
}
