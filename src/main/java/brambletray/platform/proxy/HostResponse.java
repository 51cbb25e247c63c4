package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** A host's response as received so far. Holds the body's bytes until they are passed to a client or released. */
final class HostResponse {
    final int status;
    final String reason;
    final HttpHeaders headers;
    /** Body length stated by the host, in bytes; -1: chunked. */
    final long length;
    /** No body follows, regardless of the headers: a response to HEAD, or status 204 or 304. */
    final boolean withoutBody;

    private final MemoryBudget memoryBudget;
    private List<ByteBuf> body = new ArrayList<>(2);
    private long size;

    HostResponse(
            int status,
            String reason,
            HttpHeaders headers,
            long length,
            boolean withoutBody,
            MemoryBudget memoryBudget) {
        this.status = status;
        this.reason = reason;
        this.headers = headers;
        this.length = length;
        this.withoutBody = withoutBody;
        this.memoryBudget = memoryBudget;
    }

    /** Number of body bytes held. */
    long size() {
        return size;
    }

    /** Takes ownership of the bytes; false, with the caller still their owner, if that would exceed a limit. */
    boolean add(ByteBuf bytes, long maxBytes) {
        int n = bytes.readableBytes();
        if (size + n > maxBytes || !memoryBudget.tryReserve(n)) {
            return false;
        }
        body.add(bytes);
        size += n;
        return true;
    }

    /** Adds these bytes, which the caller must not change; false if that would exceed the memory budget. */
    boolean addWrapped(byte[] bytes) {
        ByteBuf copy = Unpooled.wrappedBuffer(bytes);
        return add(copy, bytes.length);
    }

    /** A copy of the bytes held. */
    byte[] copyBody() {
        byte[] copy = new byte[(int) size];
        int at = 0;
        for (int i = 0; i < body.size(); i++) {
            ByteBuf part = body.get(i);
            int bytes = part.readableBytes();
            part.getBytes(part.readerIndex(), copy, at, bytes);
            at += bytes;
        }
        return copy;
    }

    /** Transfers ownership of the bytes; the caller must call {@link #onWritten} once they have been written. */
    List<ByteBuf> takeBody() {
        List<ByteBuf> taken = body;
        body = List.of();
        return taken;
    }

    /** Returns the bytes to the memory budget. */
    void onWritten() {
        memoryBudget.release(size);
        size = 0;
    }

    void release() {
        List<ByteBuf> dropped = takeBody();
        for (int i = 0; i < dropped.size(); i++) {
            dropped.get(i).release();
        }
        onWritten();
    }
}
