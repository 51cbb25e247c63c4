package brambletray.platform.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** A host's answer as far as it has come. Holds its bytes until it is given to a client or dropped. */
final class HostResponse {
    final int status;
    final String reason;
    final HttpHeaders headers;
    /** What the host said of its length, bytes; -1: in chunks. */
    final long length;
    /** No body follows, whatever the headers say: an answer to HEAD, 204, 304. */
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

    /** Bytes of the body held. */
    long size() {
        return size;
    }

    /** Takes the bytes over; false, with the bytes left to the caller, where too much is held. */
    boolean add(ByteBuf bytes, long maxBytes) {
        int n = bytes.readableBytes();
        if (size + n > maxBytes || !memoryBudget.tryReserve(n)) {
            return false;
        }
        body.add(bytes);
        size += n;
        return true;
    }

    /** Adds a copy of these bytes; false where too much is held. */
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

    /** Hands the bytes over; whoever takes them returns {@link #size} to the hold once they are written. */
    List<ByteBuf> takeBody() {
        List<ByteBuf> taken = body;
        body = List.of();
        return taken;
    }

    /** The bytes taken are gone. */
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
